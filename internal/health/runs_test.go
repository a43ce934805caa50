package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/testseed"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// modelRun is what the model keeps of a task, by the task's name and attempt.
type modelRun struct {
	since        eventloop.Micros
	late, unsure bool
}

// runsModel is a model that examines every task of every view and does not use the
// differences between views.
type runsModel struct {
	runs   map[string]*modelRun
	pace   map[string][]float64 // logarithms of the run times of a job's tasks
	count  int
	mean   float64
	looked eventloop.Micros
}

func (p *runsModel) compare(id string, ran eventloop.Micros) bool {
	times := p.pace[id]
	if len(times) < minPaceTasks {
		return false
	}
	sum := 0.0
	for _, x := range times {
		sum += x
	}
	p.count++
	w := max(paceWeight, 1/float64(p.count))
	p.mean += w * (math.Log(float64(ran)) - sum/float64(len(times)) - p.mean)
	return p.count >= minComparedTasks && p.mean > math.Log(slowFactor)
}

func (p *runsModel) view(v *workers.View, jobs []*job.Job, now eventloop.Micros, unsure bool) (freed float64, slow bool) {
	look := now-p.looked >= overdueInterval
	if look {
		p.looked = now
	}
	still := map[string]bool{}
	for i := range v.Tasks {
		x, j := &v.Tasks[i], jobs[i]
		k := fmt.Sprint(x.Task, " ", x.Attempt)
		o := p.runs[k]
		switch {
		case x.State == wire.TaskRunning:
			still[k] = true
			if o == nil {
				p.runs[k] = &modelRun{since: now, unsure: unsure}
			} else if times := p.pace[j.ID]; look && !o.late && !o.unsure && len(times) >= minPaceTasks {
				sum := 0.0
				for _, t := range times {
					sum += t
				}
				if float64(now-o.since) > 2*math.Exp(sum/float64(len(times))) {
					o.late = true
					slow = p.compare(j.ID, now-o.since) || slow
				}
			}
		case x.State == wire.TaskExited && x.Why == wire.WhyDone && o != nil:
			freed += j.Spec.CPUs
			if !o.unsure && !unsure {
				if !o.late {
					slow = p.compare(j.ID, now-o.since) || slow
				}
				p.pace[j.ID] = append(p.pace[j.ID], math.Log(float64(now-o.since)))
			}
		}
	}
	for k := range p.runs {
		if !still[k] {
			delete(p.runs, k)
		}
	}
	return freed, slow
}

// Runs only examines the differences between a machine's views. It must come to the same run
// times, images and slowness as a model that examines every task of every view.
func TestRunsAgainstModel(t *testing.T) {
	spoke := 0
	rapid.Check(t, func(t *rapid.T) {
		specs := []*job.Job{{ID: "a", Phase: job.Accepted, Spec: &job.Spec{CPUs: 2, Image: "ia"}}, {ID: "b", Phase: job.Accepted, Spec: &job.Spec{CPUs: 3, Image: "ib"}}}
		r, paces := NewRuns(), Paces{}
		p := &runsModel{runs: map[string]*modelRun{}, pace: map[string][]float64{}}
		old := &workers.View{Session: 1}
		now, next := 10*eventloop.Second, 0
		images := map[string]bool{}
		pauses := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "pauses"), 0))
		n := rapid.IntRange(5, 120).Draw(t, "views")
		for k := range n {
			now += 100_000 + eventloop.Micros(pauses.Int64N(3_900_000)) // uniform and not shrunk: equal times would make comparisons depend on rounding
			if k > n/2 {
				now += 8 * eventloop.Second // from here on the machine is slow
			}
			v := *old
			v.Tasks = slices.Clone(old.Tasks)
			if rapid.IntRange(0, 30).Draw(t, "restarts") == 0 {
				v.Session, v.Tasks = v.Session+1, nil
			}
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				if n := len(v.Tasks); n > 0 && rapid.IntRange(0, 2).Draw(t, "change") > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "task")
					switch x := &v.Tasks[i]; x.State {
					case wire.TaskFetching:
						x.State = wire.TaskRunning
					case wire.TaskRunning:
						if rapid.IntRange(0, 4).Draw(t, "saves") == 0 {
							x.Saved = !x.Saved // its entry changes, and it still runs
							break
						}
						x.State, x.Why = wire.TaskExited, wire.WhyDone
						if rapid.IntRange(0, 5).Draw(t, "fails") == 0 {
							x.Why = wire.WhyError
						}
					default:
						v.Tasks = slices.Delete(v.Tasks, i, i+1)
					}
					continue
				}
				next++
				v.Tasks = append(v.Tasks, workers.Task{Task: fmt.Sprintf("%c/%d", 'a'+next%2, next), Attempt: 1, State: wire.TaskFetching})
			}
			jobs := make([]*job.Job, len(v.Tasks))
			for i := range v.Tasks {
				jobs[i] = specs[int(v.Tasks[i].Task[0]-'a')]
				if v.Tasks[i].State == wire.TaskRunning {
					images[jobs[i].Spec.Image] = true
				}
			}
			unsure := rapid.IntRange(0, 15).Draw(t, "unsure") == 0
			c := v.ChangesSince(old)
			got := r.Update(&v, &c, old.Tasks, jobs, paces, now, unsure)
			freed, slow := p.view(&v, jobs, now, unsure)
			if r.slowness.n != p.count || math.Abs(r.slowness.mean-p.mean) > 1e-9 {
				t.Fatalf("%d tasks were compared with mean %v, want %d and %v by the model", r.slowness.n, r.slowness.mean, p.count, p.mean)
			}
			if got.Freed != freed || got.Slow != slow {
				t.Fatalf("freed CPUs %v, slow %v; want %v and %v by the model", got.Freed, got.Slow, freed, slow)
			}
			for i := range v.Tasks {
				want := eventloop.Micros(0)
				if o := p.runs[fmt.Sprint(v.Tasks[i].Task, " ", v.Tasks[i].Attempt)]; o != nil {
					want = o.since
				}
				if r.Since(i) != want {
					t.Fatalf("task %v runs since %d, want %d by the model", v.Tasks[i], r.Since(i), want)
				}
			}
			for _, j := range specs {
				if r.HasImage(j.Spec.Image) != images[j.Spec.Image] {
					t.Fatalf("HasImage(%s) is wrongly %v", j.Spec.Image, r.HasImage(j.Spec.Image))
				}
			}
			if slow {
				spoke++
				r.ResetSlowness()
				p.count, p.mean = 0, 0
			}
			old = &v
		}
	})
	if spoke == 0 {
		t.Error("no machine was ever found slow: the test does not cover that")
	}
}

// When no reports of a machine arrive for a while, the tasks that ended in that time seem to have
// run for the whole time. They must not make the machine slow.
func TestMissingReportsAreNoSlowness(t *testing.T) {
	const tasks = 12
	j := &job.Job{ID: "job-1", Phase: job.Accepted, Spec: &job.Spec{CPUs: 1, Tasks: tasks}}
	for _, unsure := range []bool{true, false} {
		r, paces := NewRuns(), Paces{"job-1": {n: minPaceTasks, mean: math.Log(float64(10 * eventloop.Second))}}
		view := func(state, why string) *workers.View {
			v := &workers.View{Name: "n-1"}
			for i := range tasks {
				v.Tasks = append(v.Tasks, workers.Task{Task: workers.TaskName("job-1", i), Attempt: 1, State: state, Why: why})
			}
			return v
		}
		jobs := slices.Repeat([]*job.Job{j}, tasks)
		running, ended := view(wire.TaskRunning, ""), view(wire.TaskExited, wire.WhyDone)
		at := 100 * eventloop.Second
		r.Update(running, &workers.Changes{All: true}, nil, jobs, paces, at, false)
		gone := make([]int, tasks)
		for i := range gone {
			gone[i] = i
		}
		from := slices.Repeat([]int{-1}, tasks)
		findings := r.Update(ended, &workers.Changes{OldIndex: from, Removed: gone}, running.Tasks, jobs, paces, at+40*eventloop.Second, unsure)
		if findings.Freed != tasks || findings.Slow == unsure {
			t.Errorf("unsure %v: Update returns %+v, want all CPUs freed and slow only if not unsure", unsure, findings)
		}
	}
}
