package node

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/wire"
)

// A cancellation, a question or a repeated submission races with the end of a job's last task. The user's request
// arrives as the task ends, after the end of the task or of the job has been recorded but before the answer to that,
// and a little after each of these; at the owner, at another controller and at both. Either the completion or the
// cancellation wins, all users are told the same from then on, and "done" is told within the protocol's time.
func TestRequestsRacingWithCompletion(t *testing.T) {
	const ms = eventloop.Millisecond
	type request struct {
		name string
		do   func(w *simulation, label string, j *simJob)
	}
	atController := func(f func(n *Node, w *simulation, j *simJob)) func(w *simulation, label string, j *simJob) {
		return func(w *simulation, label string, j *simJob) {
			s := w.nodes[label]
			s.execute(s.incarnation, func() { f(s.n, w, j) })
		}
	}
	cancel := request{"cancels", atController(func(n *Node, w *simulation, j *simJob) {
		j.cancelRequested = true
		n.jobs.Cancel(j.id, w.answerChecker(j))
	})}
	poll := request{"polls", atController(func(n *Node, w *simulation, j *simJob) { n.jobs.Poll(j.id, w.answerChecker(j)) })}
	repeat := request{"repeats", atController(func(n *Node, w *simulation, j *simJob) { n.jobs.Submit(j.id, j.spec, w.answerChecker(j)) })}
	finalPhases, mu := map[string]int{}, sync.Mutex{}
	t.Cleanup(func() {
		if !t.Failed() && (finalPhases["d"] < 50 || finalPhases["w"] < 50) {
			t.Errorf("final phases %v: want 50 or more jobs done and 50 or more cancelled", finalPhases)
		}
	})
	for _, when := range []string{"the task ends", "its end is recorded", "the job's end is stored"} {
		for _, after := range []eventloop.Micros{0, ms, 4 * ms, 9 * ms, 30 * ms, 300 * ms, 700 * ms, 1500 * ms} {
			t.Run(fmt.Sprint(when, ", ", after/ms, " ms later"), func(t *testing.T) {
				t.Parallel()
				for at := range 3 { // which controller: the owner, another, both
					for k, requests := range [][]request{{cancel}, {poll}, {repeat}, {cancel, poll}, {poll, cancel}, {repeat, cancel}, {cancel, cancel, repeat}} {
						w := newSimulationOf(t, uint64(7+k+int(after/ms)), clusterSize{nodes: 3, zones: 2, each: 4}, defaultSettings)
						j := &simJob{id: "job-000001", run: 6 * eventloop.Second, spec: &job.Spec{Class: "k", Team: "red", Priority: job.Normal, Tasks: 2, CPUs: 1,
							MemoryGB: 1, Image: "i", AnyType: true, Estimate: 6 * eventloop.Second}}
						w.jobs[j.id] = j
						w.after(10*eventloop.Second, func() { w.submit(j) })
						w.after(0, w.tickWorkers)
						w.after(0, w.checkCancelled)
						sendRequests := func() {
							w.after(after, func() {
								owner := w.owner("red")
								other := w.labels[(slices.Index(w.labels, owner)+1)%3]
								third := w.labels[(slices.Index(w.labels, owner)+2)%3]
								for k, a := range requests {
									label := [][]string{{owner, owner}, {other, third}, {owner, other}}[at][k%2]
									w.after(eventloop.Micros(k)*200, func() { a.do(w, label, j) })
								}
							})
						}
						w.onTaskStart = func(x *simWorker, _ string) { x.w.Faulty = false }
						completedTasks := 0
						w.onTaskEnd = func(task, why string) {
							if why == wire.WhyDone {
								completedTasks++
							}
							if completedTasks != 2 {
								return
							}
							s := w.nodes[w.owner("red")]
							switch when {
							case "the task ends":
								sendRequests()
							case "its end is recorded":
								s.afterRequest("x/red", sendRequests)
							default:
								s.afterRequest(job.KeyPrefix+j.id, sendRequests)
							}
						}
						w.run(3600*eventloop.Second + 35*eventloop.Second)
						for range 3 { // all controllers are asked, and answer the same
							for _, l := range w.labels {
								poll.do(w, l, j)
							}
							w.run(w.now + 2*eventloop.Second)
						}
						name := when + ", " + fmt.Sprint(after/ms, " ms later ", at)
						for _, a := range requests {
							name += " " + a.name
						}
						stored := w.storedPhase(j.id)
						if completedTasks != 2 || j.done == (j.cancelledAt != 0) || j.done != (stored == job.Done) || len(w.running) != 0 || len(w.startsAfterCancel) != 0 {
							t.Errorf("%s: %d tasks completed; user told done %v, told cancelled %v, stored phase %q, %d tasks run, started after the cancellation %v", name, completedTasks, j.done, j.cancelledAt != 0, stored, len(w.running), w.startsAfterCancel)
						}
						mu.Lock()
						finalPhases[string(stored)]++
						mu.Unlock()
					}
				}
			})
		}
	}
}
