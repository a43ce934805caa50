package scheduler

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/cordon"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
	"cleatpick/internal/job"
	"cleatpick/internal/membership"
	"cleatpick/internal/partition"
	"cleatpick/internal/peer"
	"cleatpick/internal/store"
	"cleatpick/internal/testseed"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"

	"pgregory.net/rapid"
)

// rig is one owner on hand-driven time, with machines that exist only as views.
type rig struct {
	*fake.Runner
	scheduler *Scheduler
	workers   *workers.Registry
	registry  *job.Registry
	mirror    *store.Mirror
	state     *fake.StateService
	writes    int
	txns      int
	starts    []workers.Start
	demand    peer.Demand
	seq       uint64
	onStop    func(workers.Stop) // may be nil
	// onLogWrite handles a transaction on the log of onlyID in place of the state service if it returns a response; it may
	// be nil.
	onLogWrite func(body []byte) *store.Response
}

func (g *rig) Do(method, path string, body []byte, d time.Duration) store.Response {
	if path == "/multi" {
		var t wire.Txn
		if wire.Unmarshal(body, &t) == nil && len(t.Then) > 0 {
			g.writes += len(t.Then)
			g.txns++
			if g.onLogWrite != nil && strings.HasPrefix(t.Then[0].Put, onlyID.LogPrefix()) {
				if resp := g.onLogWrite(body); resp != nil {
					return *resp
				}
			}
		}
	}
	return g.state.Do(method, path, body, d)
}

// The generator's seed is fixed, so that every run has the same result.
func TestMain(m *testing.M) { testseed.Main(m) }

var types = map[string]wire.MachineType{
	"m8":  {Name: "m8", CPUs: 8, MemoryGB: 32, Price: 1, SpotPrice: 0.3, BootS: 4, Zones: []string{"x", "y"}},
	"m16": {Name: "m16", CPUs: 16, MemoryGB: 32, FetchGBPerS: 1, Price: 2.2, SpotPrice: 0.5, BootS: 4, Zones: []string{"x", "y"}},
}

func newRig(writeRPS float64, teams ...config.Team) *rig {
	g := &rig{Runner: fake.NewRunner(1000 * eventloop.Second)}
	cfg := &config.Config{Operator: config.Defaults()}
	cfg.Cluster.Workers.ReportS, cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.CancelS = 3, 10, 30
	cfg.Cluster.State.TxnOps, cfg.Cluster.State.ValueKB = 16, 4 // small, so that segments fill up
	cfg.Cluster.Teams = teams
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	g.state = fake.NewStateService(func() eventloop.Micros { return g.Now() })
	c := store.NewClient(g, g, log, 100, writeRPS, 1)
	g.mirror = store.NewMirror(c, g, "c/")
	g.registry = job.NewRegistry(g, c, g.mirror, log)
	g.workers = workers.New(g, log, workers.Config{Label: "a", FindJob: g.registry.Get, ViewChanged: func(v *workers.View, c *workers.Changes) { g.scheduler.ViewChanged(v, c) }}, nil)
	g.scheduler = New(g, c, log, cfg, Dependencies{
		Label: "a",
		Type:  func(name string) (wire.MachineType, bool) { t, ok := types[name]; return t, ok },
		Start: func(_ string, s workers.Start) { g.starts = append(g.starts, s) },
		Stop: func(_ string, s workers.Stop) {
			if g.onStop != nil {
				g.onStop(s)
			}
		},
		RequestTaskList:  func(string, string) {},
		Reserve:          func(string, workers.Start) {},
		SendDemand:       func(t peer.Demand) { g.demand = t },
		SendProgress:     func([]peer.Progress) {},
		SendUsage:        func([]peer.Usage) {},
		SendReservations: func([]peer.Reservation) {},
	}, g.registry, g.workers, cordon.NewRegistry(g, c, g.mirror, log, 0))
	g.registry.OnJob = g.scheduler.JobChanged
	for _, t := range teams {
		mark := g.state.Put("c/t/"+t.Name, map[string]any{"n": "a", "e": 1})
		g.scheduler.OwnershipChanged(partition.ForTeam(t.Name), true, membership.Owner{Node: "a", Epoch: 1, Revision: mark})
	}
	g.mirror.Start()
	g.Advance(eventloop.Second)
	return g
}

// acceptJob stores an accepted job, as another controller would.
func (g *rig) acceptJob(no int, s job.Spec) string {
	id := fmt.Sprintf("job-%06d", no)
	rec := job.Record{Phase: job.Accepted, AcceptedAt: g.Now(), Spec: &s}
	mark := g.state.Put(job.KeyPrefix+id, rec)
	g.mirror.Apply(job.KeyPrefix+id, wire.Marshal(rec), mark, false)
	return id
}

// deliverView delivers a view of a machine with these tasks on it.
func (g *rig) deliverView(name, typ, zone string, spot bool, tasks ...workers.Task) {
	g.seq++
	g.workers.ApplyView(&workers.View{Name: name, Type: typ, Zone: zone, Spot: spot, Host: "b", Session: 1, Seq: g.seq, TokenConfirmed: true, MadeAfter: g.Now(), Tasks: slices.Clone(tasks)})
}

// plainCapacity computes a machine's free capacity from nothing but its view and the tables.
func (g *rig) plainCapacity(name string) workers.Capacity {
	v := g.workers.View(name)
	typ := types[v.Type]
	free := workers.Capacity{CPUs: typ.CPUs, GPUs: typ.GPUs, MemoryGB: typ.MemoryGB}
	shown := map[string]bool{}
	for _, x := range v.Tasks {
		id, _, _ := workers.SplitTask(x.Task)
		shown[fmt.Sprint(x.Task, x.Attempt)] = true
		if x.State != wire.TaskExited {
			free.Subtract(g.registry.Get(id).Spec)
		}
	}
	for _, tm := range g.scheduler.teams {
		for _, t := range tm.jobs {
			for i := range t.job.Tasks {
				x := t.task(i)
				if (x.state == Recording || x.state == Placed) && x.machine == name && x.session >= v.Session &&
					!shown[fmt.Sprint(t.taskName(i), x.attempt)] {
					free.Subtract(t.job.Spec)
				}
			}
		}
	}
	return free
}

// plainPass is a plain model of a placement pass: it places each task separately and looks at every machine for it.
func (g *rig) plainPass() map[string]string {
	out := map[string]string{}
	capacities := map[string]workers.Capacity{}
	g.workers.EachView(func(v *workers.View) { capacities[v.Name] = g.plainCapacity(v.Name) })
	cpus := map[string]float64{}
	least := 1e9
	cost := map[string]float64{}
	g.workers.EachView(func(v *workers.View) {
		typ := types[v.Type]
		cost[v.Name] = typ.Price / typ.CPUs
		if v.Spot {
			cost[v.Name] = typ.SpotPrice / typ.CPUs
		}
		least = min(least, cost[v.Name])
	})
	names := make([]string, 0, len(capacities))
	for name := range capacities {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, e := range g.scheduler.queue() {
		t := e.table
		s := t.job.Spec
		zones := maps.Clone(t.zones)
		for range t.waiting() {
			if most := t.team.cfg.CPUsMax; most != 0 && t.team.cpus+cpus[s.Team]+s.CPUs > most+1e-9 {
				break
			}
			best, bestScore := "", 0.0
			for _, name := range names {
				v := g.workers.View(name)
				room := capacities[name]
				if !room.Fits(s) || !s.AllowsPlace(v.Type, v.Zone, v.Spot) || v.NoticeAt != 0 || v.ClosedToStarts || g.Now() < g.scheduler.fleet.Machine(name).BackOffUntil {
					continue
				}
				other := false
				for z, n := range zones {
					other = other || (n > 0 && z != v.Zone)
				}
				if (s.OneZone && other) || (s.Spread && zones[v.Zone] >= (t.job.Tasks+1)/2) {
					continue
				}
				typ := types[v.Type]
				score := 2*(typ.CPUs-room.CPUs)/typ.CPUs - 3*(1-least/cost[name])
				if g.scheduler.fleet.Machine(name).Runs.HasImage(s.Image) {
					score++
					if s.Priority >= job.High {
						score += 9
					}
				}
				if best == "" || score > bestScore {
					best, bestScore = name, score
				}
			}
			if best == "" {
				break
			}
			room := capacities[best]
			room.Subtract(s)
			capacities[best] = room
			zones[g.workers.View(best).Zone]++
			cpus[s.Team] += s.CPUs
			out[fmt.Sprintf("%s on %s", t.job.ID, best)] += "+"
		}
	}
	return out
}

// checkMachineLists rebuilds the lists of tasks on each machine, and of those not resolved yet, and describes the first
// difference from the scheduler's own lists; "" if there is none.
func (g *rig) checkMachineLists() string {
	all, open := map[string]int{}, map[string]int{}
	for _, tm := range g.scheduler.teams {
		for _, tb := range tm.jobs {
			for i := range tb.job.Tasks {
				x := tb.task(i)
				r := taskRef{tb, i}
				if !x.inUse() {
					continue
				}
				all[x.machine]++
				on := g.scheduler.tasksByMachine[x.machine]
				if on == nil {
					return tb.taskName(i) + " is in use, and no task is listed for its machine"
				}
				_, here := on.all[r]
				_, isOpen := on.unresolved[r]
				if !here || isOpen != (!x.listed || x.recheck) {
					return fmt.Sprintf("%s on %s: listed %v, unresolved %v; seen %v, pending %v", tb.taskName(i), x.machine, here, isOpen, x.listed, x.recheck)
				}
				if v := g.workers.View(x.machine); x.state == Placed && !x.listed && v != nil && v.Find(tb.taskName(i), x.attempt) != nil {
					return tb.taskName(i) + " was listed by its machine, and is not marked as seen"
				}
				if isOpen {
					open[x.machine]++
				}
			}
		}
	}
	for m, on := range g.scheduler.tasksByMachine {
		if len(on.all) != all[m] || len(on.unresolved) != open[m] {
			return fmt.Sprintf("%s: %d tasks and %d unresolved ones are listed, want %d and %d", m, len(on.all), len(on.unresolved), all[m], open[m])
		}
	}
	return ""
}

// Free capacity is updated incrementally, and a pass ranks the machines once per job. Both must give the same result
// as recomputing everything for each task.
func TestPassesMatchThePlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newRig(1000, config.Team{Name: "red", CPUs: 1000, CPUsMax: 60}, config.Team{Name: "blue", CPUs: 1000, CPUsMax: 1000})
		g.scheduler.preemption.nextRun = 1 << 62 // the model preempts nothing
		machines, jobs := 0, 0
		on := map[string][]workers.Task{}
		for range rapid.IntRange(3, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				machines++
				g.deliverView(fmt.Sprintf("n-%03d", machines), rapid.SampledFrom([]string{"m8", "m16"}).Draw(t, "type"),
					rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"), rapid.Bool().Draw(t, "spot"))
			case 1:
				jobs++
				s := job.Spec{Class: "k", Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
					Priority: job.Priority(rapid.IntRange(0, 2).Draw(t, "priority")), Tasks: rapid.IntRange(1, 70).Draw(t, "tasks"),
					CPUs: float64(rapid.IntRange(1, 5).Draw(t, "cpus")), MemoryGB: float64(rapid.IntRange(1, 12).Draw(t, "memory")),
					Image: rapid.SampledFrom([]string{"i", "k"}).Draw(t, "image"), AnyType: true, Spot: rapid.Bool().Draw(t, "may be spot"), Estimate: eventloop.Second}
				switch rapid.IntRange(0, 4).Draw(t, "where") {
				case 0:
					s.OneZone = true
				case 1:
					s.Spread = true
				case 2:
					s.Zone = "y"
				case 3:
					s.AnyType, s.Types = false, []string{"m16"}
				}
				g.acceptJob(jobs, s)
			case 2: // started tasks are listed by their machines, and some have completed
				for _, s := range g.starts {
					on[s.Machine] = append(on[s.Machine], workers.Task{Task: s.Task, Attempt: s.Attempt, State: wire.TaskRunning})
				}
				g.starts = nil
				for _, name := range slices.Sorted(maps.Keys(on)) {
					all := on[name]
					for i := range all {
						if rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
							all[i].State, all[i].Why = wire.TaskExited, wire.WhyDone
						}
					}
					v := g.workers.View(name)
					g.deliverView(name, v.Type, v.Zone, v.Spot, slices.Clone(all)...)
				}
			default:
				g.Advance(eventloop.Micros(rapid.IntRange(1, 300).Draw(t, "ms")) * eventloop.Millisecond)
			}
			want := g.plainPass()
			before := map[string]bool{}
			each := func(f func(string, *task, *jobTable)) {
				for _, tm := range g.scheduler.teams {
					for _, tb := range tm.jobs {
						for i := range tb.job.Tasks {
							x := tb.task(i)
							f(fmt.Sprint(tb.taskName(i), "#", x.attempt), x, tb)
						}
					}
				}
			}
			each(func(n string, x *task, _ *jobTable) { before[n] = x.inUse() })
			g.scheduler.place()
			got := map[string]string{}
			each(func(n string, x *task, tb *jobTable) {
				if x.state == Recording && !before[n] {
					got[fmt.Sprintf("%s on %s", tb.job.ID, x.machine)] += "+"
				}
			})
			if !maps.Equal(got, want) {
				t.Fatalf("placed %v, want %v", got, want)
			}
			if why := g.checkMachineLists(); why != "" {
				t.Fatal(why)
			}
			g.scheduler.fleet.Refresh()
			for _, m := range g.scheduler.fleet.All() {
				name := m.View.Name
				if room := g.plainCapacity(name); m.Known && room != m.Free {
					t.Fatalf("%s: free capacity %v in its record, %v computed from its view", name, m.Free, room)
				}
			}
		}
	})
}

// A start is sent only once its record is stored, and many starts share one write. With ten changes per second, 480
// tasks of 40 jobs that arrive one by one are all started.
func TestStartsShareWrites(t *testing.T) {
	g := newRig(10, config.Team{Name: "red", CPUs: 5000, CPUsMax: 5000})
	for i := range 60 {
		g.deliverView(fmt.Sprintf("n-%03d", i), "m8", "x", false)
	}
	for i := range 40 {
		g.acceptJob(i, job.Spec{Class: "k", Team: "red", Tasks: 12, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true, Estimate: eventloop.Second})
		g.Advance(50 * eventloop.Millisecond)
	}
	g.Advance(4 * eventloop.Second)
	placed := map[string]string{}
	for no := range 100 {
		raw, ok := g.state.Value(segmentKey("x/red/", no))
		var rec segmentRecord
		if !ok || wire.Unmarshal(raw, &rec) != nil {
			continue
		}
		for _, j := range rec.Jobs {
			for _, e := range j.Tasks {
				if e.State == storedPlaced {
					placed[fmt.Sprint(j.ID, "/", e.Index, "#", e.Attempt)] = rec.Machines[e.Machine-1].Name
				}
			}
		}
	}
	started := map[string]bool{}
	for _, s := range g.starts {
		n := fmt.Sprint(s.Task, "#", s.Attempt)
		started[n] = true
		if placed[n] != s.Machine {
			t.Fatalf("%s was started on %s, its record names machine %q", n, s.Machine, placed[n])
		}
	}
	if len(started) != 480 {
		t.Fatalf("%d tasks were started, want 480", len(started))
	}
	if most := 10*6 + 10; g.writes > most {
		t.Fatalf("%d changes in 6 s, at 10 per second allowed", g.writes)
	}
}

// A refused reservation that arrives after the task was recorded is no evidence that the task does not run: the start
// is in flight and may still succeed. Treating it as a dropped start let ten tasks run twice in one simulated day.
func TestLateRefusalDoesNotFreeATask(t *testing.T) {
	g := newRig(100, config.Team{Name: "red", CPUs: 50, CPUsMax: 50})
	g.deliverView("n-001", "m8", "x", false)
	g.acceptJob(1, job.Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true, Estimate: eventloop.Second})
	x := func() *task { return g.scheduler.teams["red"].jobs["job-000001"].task(0) }
	for x().state != Recording {
		g.Advance(eventloop.Millisecond)
	}
	refuse := func() {
		g.scheduler.StartRejected("b", workers.Rejection{Machine: "n-001", Task: "job-000001/0", Attempt: x().attempt, Why: "full", OnlyReservation: true})
	}
	refuse()
	if x().state != Waiting {
		t.Fatalf("the reservation was refused before the record: state %d, want waiting", x().state)
	}
	g.Advance(eventloop.Second)
	if len(g.starts) == 0 || x().state != Placed {
		t.Fatalf("the task was not placed again: state %d", x().state)
	}
	refuse()
	if x().state != Placed {
		t.Fatalf("a late refusal freed the task, state %d, while its start is in flight", x().state)
	}
}

// The tasks of a cancelled job count as in use until they are confirmed terminated, also for the next owner, so the
// log must keep them when a segment is rewritten.
func TestLogKeepsTasksOfCancelledJobs(t *testing.T) {
	team := config.Team{Name: "red", CPUs: 4, CPUsMax: 4}
	g := newRig(100, team)
	g.deliverView("n-001", "m8", "x", false)
	spec := job.Spec{Class: "k", Team: "red", Tasks: 2, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true, Estimate: eventloop.Second}
	id := g.acceptJob(1, spec)
	g.Advance(eventloop.Second)
	rec := job.Record{Phase: job.Cancelled, AcceptedAt: g.Now(), Spec: &spec}
	g.mirror.Apply(job.KeyPrefix+id, wire.Marshal(rec), g.state.Put(job.KeyPrefix+id, rec), false)
	g.acceptJob(2, spec)
	g.Advance(eventloop.Second)
	if use := g.scheduler.teams["red"].cpus; use != 4 {
		t.Fatalf("%v CPUs are in use, want 4", use)
	}
	g.scheduler.OwnershipChanged(partition.ForTeam("red"), false, membership.Owner{})
	mark := g.state.Put("c/t/red", map[string]any{"n": "a", "e": 2})
	g.scheduler.OwnershipChanged(partition.ForTeam("red"), true, membership.Owner{Node: "a", Epoch: 2, Revision: mark})
	g.acceptJob(3, spec)
	g.starts = nil
	g.Advance(eventloop.Second)
	if use := g.scheduler.teams["red"].cpus; use != 4 {
		t.Fatalf("the next owner counts %v CPUs in use, want 4", use)
	}
	for _, s := range g.starts {
		if id, _, _ := workers.SplitTask(s.Task); id == "job-000003" {
			t.Fatalf("%s was started beyond the team's limit", s.Task)
		}
	}
}

// Tasks are recorded in any order, so the log of an unfinished job has gaps. The next owner must start each
// unrecorded task once, and none that the job does not have.
func TestRestoreFillsGaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newRig(100, config.Team{Name: "red", CPUs: 1000, CPUsMax: 1000})
		n := rapid.IntRange(1, 300).Draw(t, "tasks")
		id := g.acceptJob(1, job.Spec{Class: "k", Team: "red", Tasks: n, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true, Estimate: eventloop.Second})
		recorded := map[int]bool{}
		rec := segmentRecord{Machines: []machineEntry{{Name: "n-000", Zone: "x"}}, Jobs: []jobEntry{{ID: id}}}
		for _, i := range rapid.SliceOfDistinct(rapid.IntRange(0, n-1), rapid.ID).Draw(t, "recorded") {
			recorded[i] = true
			rec.Jobs[0].Tasks = append(rec.Jobs[0].Tasks, taskEntry{Index: i, State: storedPlaced, Attempt: 1, Machine: 1, Session: 1, Expiry: g.Now()})
		}
		g.state.Put(segmentKey("x/red/", 0), rec)
		g.scheduler.OwnershipChanged(partition.ForTeam("red"), false, membership.Owner{})
		mark := g.state.Put("c/t/red", map[string]any{"n": "a", "e": 2})
		g.scheduler.OwnershipChanged(partition.ForTeam("red"), true, membership.Owner{Node: "a", Epoch: 2, Revision: mark})
		for i := range 40 {
			g.deliverView(fmt.Sprintf("n-1%02d", i), "m8", "x", false)
		}
		g.Advance(eventloop.Second)
		started := map[string]bool{}
		for _, s := range g.starts {
			_, i, _ := workers.SplitTask(s.Task)
			if i >= n || recorded[i] {
				t.Fatalf("%s was started: the job has %d tasks, recorded: %v", s.Task, n, recorded[i])
			}
			started[s.Task] = true
		}
		if len(started) != n-len(recorded) {
			t.Fatalf("%d tasks were started, want %d", len(started), n-len(recorded))
		}
	})
}

// A machine whose tasks take twice as long as those of the same job elsewhere receives no starts for a while. A
// machine that only runs longer jobs is not affected.
func TestSlowMachinesAreExcluded(t *testing.T) {
	g := newRig(100, config.Team{Name: "red", CPUs: 500, CPUsMax: 500})
	short := g.acceptJob(1, job.Spec{Class: "k", Team: "blue", Tasks: 99, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true})
	long := g.acceptJob(2, job.Spec{Class: "k", Team: "blue", Tasks: 99, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true})
	rng := rand.New(rand.NewPCG(3, 3))
	machines := map[string]float64{"n-001": 1, "n-002": 1, "n-003": 2.2, "n-004": 1}
	next := 0
	on := map[string][]workers.Task{}
	until := map[string]eventloop.Micros{}
	rested := map[string]bool{}
	for range 1200 { // four tasks at a time on each machine, for a minute
		for _, name := range slices.Sorted(maps.Keys(machines)) {
			factor := machines[name]
			kept := on[name][:0:0]
			for _, x := range on[name] {
				if x.State == wire.TaskExited {
					continue // forgotten
				}
				if g.Now() >= until[x.Task] {
					x.State, x.Why = wire.TaskExited, wire.WhyDone
				}
				kept = append(kept, x)
			}
			for len(kept) < 4 {
				next++
				id, run := short, 6.0
				if name == "n-004" {
					id, run = long, 20.0
				}
				x := workers.Task{Task: workers.TaskName(id, next), Attempt: 1, State: wire.TaskRunning}
				until[x.Task] = g.Now() + eventloop.Seconds(run*factor*math.Exp(0.3*rng.NormFloat64()))
				kept = append(kept, x)
			}
			on[name] = kept
			g.deliverView(name, "m8", "x", false, slices.Clone(kept)...)
			if g.scheduler.fleet.Machine(name).BackOffUntil > g.Now() {
				rested[name] = true
			}
		}
		g.Advance(50 * eventloop.Millisecond)
	}
	if len(rested) != 1 || !rested["n-003"] {
		t.Fatalf("machines %v received no starts for a while, want n-003 only", rested)
	}
}
