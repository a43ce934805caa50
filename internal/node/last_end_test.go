package node

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// A cancellation, a question or a repeated submission races with the end of a job's last task. The user's request arrives
// as the task ends, after the end of the task or of the job has been recorded but before the answer to that, and a little
// after each of these; at the owner, at another controller and at both. Either the completion or the cancellation wins,
// all users are told the same from then on, and "done" is told within the protocol's time.
func TestWhatMeetsTheLastEnd(t *testing.T) {
	const ms = loop.Millisecond
	type ask struct {
		name string
		do   func(w *world, label string, j *simJob)
	}
	ask1 := func(f func(n *Node, w *world, j *simJob)) func(w *world, label string, j *simJob) {
		return func(w *world, label string, j *simJob) {
			s := w.nodes[label]
			s.enter(s.gen, func() { f(s.n, w, j) })
		}
	}
	cancel := ask{"cancels", ask1(func(n *Node, w *world, j *simJob) { j.asked = true; n.jobs.Cancel(j.id, w.answer(j)) })}
	poll := ask{"polls", ask1(func(n *Node, w *world, j *simJob) { n.jobs.Poll(j.id, w.answer(j)) })}
	repeat := ask{"repeats", ask1(func(n *Node, w *world, j *simJob) { n.jobs.Submit(j.id, j.spec, w.answer(j)) })}
	wins, mu := map[string]int{}, sync.Mutex{}
	t.Cleanup(func() {
		if !t.Failed() && (wins["d"] < 50 || wins["w"] < 50) {
			t.Errorf("final phases %v: want 50 or more jobs done and 50 or more cancelled", wins)
		}
	})
	for _, moment := range []string{"the task ends", "its end is recorded", "the job's end is stored"} {
		for _, after := range []loop.Micros{0, ms, 4 * ms, 9 * ms, 30 * ms, 300 * ms, 700 * ms, 1500 * ms} {
			t.Run(fmt.Sprint(moment, ", ", after/ms, " ms later"), func(t *testing.T) {
				t.Parallel()
				for at := range 3 { // which controller: the owner, another, both
					for k, asks := range [][]ask{{cancel}, {poll}, {repeat}, {cancel, poll}, {poll, cancel}, {repeat, cancel}, {cancel, cancel, repeat}} {
						w := newWorldOf(t, uint64(7+k+int(after/ms)), size{nodes: 3, zones: 2, each: 4}, nothing)
						j := &simJob{id: "job-000001", run: 6 * loop.Second, spec: &job.Spec{Class: "k", Team: "red", Priority: job.Normal, Tasks: 2, CPUs: 1,
							MemoryGB: 1, Image: "i", AnyType: true, Estimate: 6 * loop.Second}}
						w.jobs[j.id] = j
						w.at(10*loop.Second, func() { w.submit(j) })
						w.at(0, w.live)
						w.at(0, w.checkCancelled)
						strike := func() {
							w.at(after, func() {
								owner := w.owner("red")
								other := w.labels[(slices.Index(w.labels, owner)+1)%3]
								third := w.labels[(slices.Index(w.labels, owner)+2)%3]
								for k, a := range asks {
									label := [][]string{{owner, owner}, {other, third}, {owner, other}}[at][k%2]
									w.at(loop.Micros(k)*200, func() { a.do(w, label, j) })
								}
							})
						}
						w.onBegan = func(x *simWorker, _ string) { x.w.Faulty = false }
						last := 0
						w.onLeft = func(task, why string) {
							if why == wire.WhyDone {
								last++
							}
							if last != 2 {
								return
							}
							s := w.nodes[w.owner("red")]
							switch moment {
							case "the task ends":
								strike()
							case "its end is recorded":
								s.after("x/red", strike)
							default:
								s.after(job.KeyPrefix+j.id, strike)
							}
						}
						w.run(3600*loop.Second + 35*loop.Second)
						for range 3 { // all controllers are asked, and answer the same
							for _, l := range w.labels {
								poll.do(w, l, j)
							}
							w.run(w.now + 2*loop.Second)
						}
						name := moment + ", " + fmt.Sprint(after/ms, " ms later ", at)
						for _, a := range asks {
							name += " " + a.name
						}
						stored := w.stored(j.id)
						if last != 2 || j.done == (j.withdrawn != 0) || j.done != (stored == job.Done) || len(w.active) != 0 || len(w.vain) != 0 {
							t.Errorf("%s: %d tasks completed; user told done %v, told cancelled %v, stored phase %q, %d tasks run, started after the cancellation %v", name, last, j.done, j.withdrawn != 0, stored, len(w.active), w.vain)
						}
						mu.Lock()
						wins[string(stored)]++
						mu.Unlock()
					}
				}
			})
		}
	}
}
