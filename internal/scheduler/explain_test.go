package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/cordon"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/explain"
	"cleatpick/internal/health"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/predicate"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// scenario is one owner with machines and jobs that wait for many kinds of reasons. It is built from a seed, so that it
// can be built again with some of the reasons removed.
type scenario struct {
	*rig
	rng          *rand.Rand
	jobs         []string
	foreignTasks map[string][]workers.Task // tasks on each machine of teams that are owned elsewhere
	kind         map[string][3]string      // type, zone and kind of each machine
	foreignJobs  int
	cordons      []cordon.Cordon
}

var zones = []string{"x", "y"}

// markFailed marks so many of a job's waiting tasks as having failed before.
func (g *scenario) markFailed(t *jobTable, n int) {
	for range n {
		if len(t.requeued) == 0 && t.firstUnplaced == t.job.Tasks {
			return
		}
		i := t.popWaiting()
		t.task(i).failed = true
		t.failedTasks = append(t.failedTasks, i)
	}
}

func newScenario(seed uint64) *scenario {
	g := &scenario{rig: newRig(1000, config.Team{Name: "red", CPUs: 10, CPUsMax: 14}, config.Team{Name: "blue", CPUs: 4, CPUsMax: 60}),
		rng: rand.New(rand.NewPCG(seed, 11)), foreignTasks: map[string][]workers.Task{}, kind: map[string][3]string{}}
	g.scheduler.preemption.nextRun = 1 << 62 // preemption is not among the reasons checked here
	for _, step := range g.rng.Perm(12) {
		switch {
		case step < 4:
			g.addRandomMachine()
		case step < 9:
			g.addRandomJob()
		case step < 11:
			g.Advance(eventloop.Micros(g.rng.IntN(900)) * eventloop.Millisecond)
		default:
			g.addRandomCordon()
		}
	}
	for _, id := range g.jobs { // the causes change while the jobs wait
		switch g.rng.IntN(9) {
		case 0:
			g.amend(id, func(r *job.Record) { r.Terms = &job.Terms{Hold: job.Hold{State: job.HoldEffective, Reason: "r"}} })
		case 1:
			g.table(id).probation = health.Probation{State: health.Suspected, ConsecutiveFailures: 1, BackOffUntil: g.Now() + 40*eventloop.Second}
		case 2:
			g.table(id).probation = health.Probation{State: health.Broken, ConsecutiveFailures: 4}
		case 3: // some of its tasks failed, others completed
			t := g.table(id)
			t.probation = health.Probation{State: health.Sound, ConsecutiveFailures: 1 + g.rng.IntN(3)}
			if g.rng.IntN(2) == 0 {
				t.probation.BackOffUntil = g.Now() + 40*eventloop.Second
			}
			g.markFailed(t, g.rng.IntN(t.waiting()+1))
		}
	}
	if g.rng.IntN(3) == 0 {
		g.addRandomMachine()
	}
	g.Advance(600 * eventloop.Millisecond)
	g.settleDown()
	return g
}

// settleDown runs passes for long enough that started tasks are reported as running and nothing changes any more.
func (g *scenario) settleDown() {
	for range 3 {
		g.Advance(300 * eventloop.Millisecond)
		g.scheduler.place()
	}
	g.Advance(300 * eventloop.Millisecond)
	g.scheduler.place()
}

func (g *scenario) table(id string) *jobTable {
	for _, tm := range g.scheduler.teams {
		if t := tm.jobs[id]; t != nil {
			return t
		}
	}
	return nil
}

func (g *scenario) amend(id string, f func(*job.Record)) {
	rec := g.stored(id)
	f(&rec)
	g.mirror.Apply(job.KeyPrefix+id, wire.Marshal(rec), g.state.Put(job.KeyPrefix+id, rec), false)
}

// addRandomMachine adds a machine, perhaps partly used by a team that is owned elsewhere.
func (g *scenario) addRandomMachine() {
	name := fmt.Sprintf("n-%03d", len(g.kind)+1)
	typ, zone, spot := []string{"m8", "m16"}[g.rng.IntN(2)], zones[g.rng.IntN(2)], g.rng.IntN(2) == 0
	used := float64(g.rng.IntN(int(types[typ].CPUs) + 1))
	g.addMachine(name, typ, zone, spot, used, float64(g.rng.IntN(20)))
	if g.rng.IntN(6) == 0 {
		g.scheduler.fleet.Machine(name).BackOff(g.Now()+100*eventloop.Second, "its tasks run slowly")
	}
}

func (g *scenario) addMachine(name, typ, zone string, spot bool, cpus, memory float64) {
	g.kind[name] = [3]string{typ, zone, explain.MachineKind(spot)}
	if cpus > 0 || memory > 0 {
		g.foreignJobs++
		id := g.acceptJob(500+g.foreignJobs, job.Spec{Class: "f", Team: "green", Tasks: 1, CPUs: cpus, MemoryGB: memory, Image: "f", AnyType: true})
		g.foreignTasks[name] = []workers.Task{{Task: id + "/0", Attempt: 1, State: wire.TaskRunning}}
	}
	g.deliverView(name, typ, zone, spot, g.foreignTasks[name]...)
}

func (g *scenario) addRandomJob() {
	r := g.rng
	s := job.Spec{Class: "k", Team: []string{"red", "blue"}[r.IntN(2)], Priority: job.Priority(r.IntN(3)), Tasks: 1 + r.IntN(6),
		CPUs: float64(1 + r.IntN(6)), MemoryGB: float64(1 + r.IntN(10)), Image: "i", AnyType: true, Spot: r.IntN(2) == 0, Estimate: eventloop.Second}
	switch r.IntN(6) {
	case 0:
		s.Zone = zones[r.IntN(2)]
	case 1:
		s.AnyType, s.Types = false, []string{"m16"}
	case 2:
		s.Gang = true
	}
	terms := &job.Terms{}
	if r.IntN(4) == 0 {
		terms.Hold = job.Hold{State: job.HoldEffective, Reason: "r"}
	}
	if r.IntN(4) == 0 {
		g.foreignJobs++
		dep := g.acceptJob(500+g.foreignJobs, job.Spec{Class: "f", Team: "green", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "f", AnyType: true})
		terms.Dependencies = []string{dep}
		if r.IntN(3) == 0 {
			g.amend(dep, func(rec *job.Record) { rec.Phase = job.Cancelled })
			terms.OnCancelled = []job.Policy{job.PolicyHold, job.PolicyRelease}[r.IntN(2)]
		}
	}
	id := fmt.Sprintf("job-%06d", len(g.jobs)+1)
	rec := job.Record{Phase: job.Accepted, AcceptedAt: g.Now(), Spec: &s, Terms: terms}
	g.mirror.Apply(job.KeyPrefix+id, wire.Marshal(rec), g.state.Put(job.KeyPrefix+id, rec), false)
	g.jobs = append(g.jobs, id)
}

func (g *scenario) addRandomCordon() {
	if g.rng.IntN(2) == 0 {
		return
	}
	c := cordon.Cordon{Name: "c", Reason: "r"}
	switch g.rng.IntN(4) {
	case 0:
		c.Machine = "n-002"
	case 1:
		c.Kind = cordon.Spot
	default:
		c.Zone = zones[g.rng.IntN(2)]
	}
	g.putCordons([]cordon.Cordon{c})
}

func (g *scenario) putCordons(all []cordon.Cordon) {
	g.cordons = all
	v := map[string]any{"f": 1, "c": all}
	g.mirror.Apply(cordon.Key, wire.Marshal(v), g.state.Put(cordon.Key, v), false)
}

// plainModel is a plain model of the reasons. It derives them from what the scenario contains and from the tasks'
// states, without the predicates.
type plainModel struct {
	g *scenario
}

func (m plainModel) cordoned(name, typ, zone, kind string) bool {
	for _, c := range m.g.cordons {
		if (c.Machine == "" || c.Machine == name) && (c.Type == "" || c.Type == typ) && (c.Zone == "" || c.Zone == zone) && (c.Kind == "" || c.Kind == kind) {
			return true
		}
	}
	return false
}

func (m plainModel) use(team string) (cpus float64) {
	for _, id := range m.g.jobs {
		t := m.g.table(id)
		if t == nil || t.job.Spec.Team != team {
			continue
		}
		for i := range t.job.Tasks {
			if s := t.task(i).state; s == Recording || s == Placed {
				cpus += t.job.Spec.CPUs
			}
		}
	}
	return cpus
}

// waiting counts the tasks that are neither in use nor done.
func (m plainModel) waiting(t *jobTable) int {
	n := 0
	for i := range t.job.Tasks {
		if t.task(i).state == Waiting {
			n++
		}
	}
	return n
}

func (m plainModel) allows(s *job.Spec, typ, zone, kind string) bool {
	return (s.AnyType || slices.Contains(s.Types, typ)) && (s.Zone == "" || s.Zone == zone) && (s.Spot || kind == "ordinary")
}

// capacities returns the free capacity of every machine that accepts starts.
func (m plainModel) capacities(cordons bool) map[string]workers.Capacity {
	out := map[string]workers.Capacity{}
	for name, k := range m.g.kind {
		if m.g.scheduler.fleet.Machine(name).BackOffUntil > m.g.Now() || (cordons && m.cordoned(name, k[0], k[1], k[2])) {
			continue
		}
		out[name] = m.g.plainCapacity(name)
	}
	return out
}

// placeTasks places up to n tasks one by one, and returns how many it placed.
func (m plainModel) placeTasks(s *job.Spec, n int, capacities map[string]workers.Capacity) int {
	got := 0
	for _, name := range slices.Sorted(maps.Keys(capacities)) {
		k := m.g.kind[name]
		for got < n && m.allows(s, k[0], k[1], k[2]) && capacities[name].CPUs >= s.CPUs-1e-6 && capacities[name].MemoryGB >= s.MemoryGB-1e-6 {
			r := capacities[name]
			r.CPUs -= s.CPUs
			r.MemoryGB -= s.MemoryGB
			capacities[name] = r
			got++
		}
	}
	return got
}

// reasons returns by kind how many tasks each reason blocks. It omits rank, which is checked by its effect.
func (m plainModel) reasons(id string) map[string]int {
	g, t := m.g, m.g.table(id)
	s, n := t.job.Spec, m.waiting(t)
	out := map[string]int{}
	if n == 0 {
		return out
	}
	terms := g.stored(id).Terms
	if terms != nil && terms.Hold.State != job.HoldNone {
		out["hold"] = n
	}
	if terms != nil {
		for _, d := range terms.Dependencies {
			switch g.stored(d).Phase {
			case job.Accepted:
				out["dependency"] = n
			case job.Cancelled:
				if terms.OnCancelled == job.PolicyHold {
					out["dependency"] = n
				}
			}
		}
	}
	x := &t.probation
	trusted, late := x.State == health.Untried || x.State == health.Sound, len(t.failedTasks)
	if x.BackOffUntil > g.Now() && (!trusted || s.Gang || late >= n) {
		out["backOff"] = n
	}
	inUse := t.job.Tasks - n - t.completed
	if x.ConsecutiveFailures > 0 && !s.Gang {
		var k int
		if trusted {
			k = late - min(late, max(1, late>>x.ConsecutiveFailures))
			if x.BackOffUntil > g.Now() && late < n {
				k = late
			}
		} else {
			live := 0
			for i := range t.job.Tasks {
				if y := t.task(i); y.state == Placed && y.running && g.Now()-y.chosenAt > 2*eventloop.Second {
					live++
				}
			}
			k = n - max(1+2*live-inUse, 0)
		}
		if k > 0 {
			out["probe"] = k
		}
	}
	left := int((t.team.cfg.CPUsMax - m.use(s.Team) + 1e-9) / s.CPUs)
	if t.team.cfg.CPUsMax != 0 && left < n {
		out["teamLimit"] = n - max(left, 0)
		if s.Gang {
			out["teamLimit"] = n
		}
	}
	fits, all := m.placeTasks(s, n, m.capacities(true)), m.placeTasks(s, n, m.capacities(false))
	allCordoned := true
	for typ := range types {
		for _, zone := range zones {
			for _, kind := range []string{"spot", "ordinary"} {
				if m.allows(s, typ, zone, kind) && types[typ].CPUs >= s.CPUs && types[typ].MemoryGB >= s.MemoryGB && !m.cordoned("", typ, zone, kind) {
					allCordoned = false
				}
			}
		}
	}
	if s.Gang {
		if all > fits || (allCordoned && fits < n) {
			out["cordon"] = n
		}
		if all < n || inUse > 0 {
			out["gang"] = n
		}
		return out
	}
	if allCordoned && n > fits {
		out["cordon"] = n - fits
	} else if all > fits {
		out["cordon"] = all - fits
	}
	if n > all {
		out["room"] = n - all
	}
	return out
}

// removeReason removes a reason in the way that its release describes.
func (g *scenario) removeReason(id, kind string, r *explain.Reason, ahead []string) {
	t := g.table(id)
	switch kind {
	case "hold":
		g.amend(id, func(rec *job.Record) { rec.Terms.Hold = job.Hold{} })
	case "dependency":
		for _, d := range t.job.Terms.Dependencies {
			if g.stored(d).Phase == job.Accepted {
				g.amend(d, func(rec *job.Record) { rec.Phase = job.Done })
			} else {
				g.amend(id, func(rec *job.Record) { rec.Terms.Waived = append(rec.Terms.Waived, d) })
			}
		}
	case "backOff":
		t.probation.BackOffUntil = 0
	case "probe":
		// A task completes; while the back-off lasts, all others count as failed.
		if t.probation.State != health.Sound && t.probation.BackOffUntil > g.Now() {
			g.markFailed(t, t.waiting())
		}
		t.probation.State, t.probation.ConsecutiveFailures = health.Sound, 0
	case "teamLimit":
		t.team.cfg.CPUsMax, t.team.quota.CPUsMax = 0, config.NewLimit(0)
	case "cordon":
		g.putCordons([]cordon.Cordon{})
	case "room", "gang":
		s := t.job.Spec
		m := plainModel{g}
		// Add a machine with capacity for one task for each task that lacks it: at a place that is not cordoned, if
		// there is one, and that earlier work may use as well.
		typ, zone, kind, best := "", "", "", -1
		for _, ty := range slices.Sorted(maps.Keys(types)) {
			for _, z := range zones {
				for _, k := range []string{"ordinary", "spot"} {
					if !m.allows(s, ty, z, k) || types[ty].CPUs < s.CPUs || types[ty].MemoryGB < s.MemoryGB {
						continue
					}
					score := 0
					if !m.cordoned("", ty, z, k) {
						score += 4
					}
					for i, o := range ahead {
						if x := g.table(o); x != nil && m.allows(x.job.Spec, ty, z, k) {
							score |= 1
							if i == 0 {
								score |= 2 // the first in the order of service
							}
						}
					}
					if score > best {
						typ, zone, kind, best = ty, z, k, score
					}
				}
			}
		}
		short := t.waiting() - m.placeTasks(s, t.waiting(), m.capacities(false))
		for i := range short {
			g.addMachine(fmt.Sprintf("z-%03d", i), typ, zone, kind == "spot", types[typ].CPUs-s.CPUs, types[typ].MemoryGB-s.MemoryGB)
		}
	case "rank":
		for _, o := range r.BlockedBy {
			g.amend(o, func(rec *job.Record) { rec.Phase = job.Cancelled })
		}
	}
}

func (g *scenario) explainJob(id string) ([]explain.Reason, bool) {
	all := make([]wire.MachineType, 0, len(types))
	for _, name := range slices.Sorted(maps.Keys(types)) {
		all = append(all, types[name])
	}
	f, ok := g.scheduler.Facts(id, all, true)
	if !ok {
		return nil, false
	}
	return explain.Reasons(f), f.AheadComplete
}

// Each stated reason blocks its tasks by itself, and together the reasons are complete: with all reasons but one
// removed, at least as many of the job's tasks still wait as that reason states; with all removed, all tasks start
// within one pass. A plain model must state the same reasons.
func TestReasonsAreExact(t *testing.T) {
	seeds := uint64(1500)
	if s := os.Getenv("CLEATPICK_WORLDS"); s != "" {
		if _, err := fmt.Sscan(s, &seeds); err != nil {
			t.Fatal(err)
		}
	}
	stated := map[string]int{}
	several, unsure, exact, answers, incomplete := 0, 0, 0, 0, 0
	for seed := range seeds {
		g := newScenario(seed)
		var waits []string
		for _, id := range g.jobs {
			if x := g.table(id); x != nil && x.waiting() > 0 {
				waits = append(waits, id)
			}
		}
		if why := g.checkMachineLists(); why != "" {
			t.Fatalf("seed %d: %s", seed, why)
		}
		for _, id := range waits {
			reasons, sure := g.explainJob(id)
			want := plainModel{g}.reasons(id)
			got := map[string]int{}
			for _, r := range reasons {
				if r.Kind != "rank" && predicate.KindByName(r.Kind) <= predicate.Rank {
					got[r.Kind] = r.Tasks
				}
			}
			if !maps.Equal(got, want) {
				t.Fatalf("seed %d: %s (%+v): the reasons are %v, by the plain model %v", seed, id, g.table(id).job.Spec, got, want)
			}
			if !sure {
				incomplete++
			}
			answers++
		}
		if len(waits) == 0 {
			continue
		}
		id := waits[g.rng.IntN(len(waits))]
		reasons, sure := g.explainJob(id)
		if len(reasons) > 1 {
			several++
		}
		list := kindsOf(reasons)
		var ahead []string
		for _, r := range reasons {
			if r.Kind == "rank" {
				ahead = r.BlockedBy
			}
		}
		for i := -1; i < len(reasons); i++ {
			if i >= 0 && predicate.KindByName(reasons[i].Kind) > predicate.Rank {
				continue // in flight
			}
			h := newScenario(seed)
			for k := range reasons {
				if k != i {
					h.removeReason(id, reasons[k].Kind, &reasons[k], ahead)
				}
			}
			h.scheduler.RequestPass()
			h.scheduler.place()
			left := 0
			if x := h.table(id); x != nil {
				left = x.waiting()
			}
			if i < 0 {
				if left > 0 && sure {
					t.Fatalf("seed %d: %s: all of %s are removed, and %d tasks still wait", seed, id, list, left)
				}
				continue
			}
			r := reasons[i]
			stated[r.Kind]++
			if r.State == "mayBeBehind" {
				unsure++
			}
			if left == r.Tasks {
				exact++
			}
			// Other waiting jobs of the team may use what is left of its limit.
			if (left == 0 && r.State != "mayBeBehind") || (left < r.Tasks && r.Kind != "rank") {
				t.Fatalf("seed %d: %s: only %s of %s is left, which blocks %d tasks, and %d wait", seed, id, r.Kind, list, r.Tasks, left)
			}
		}
	}
	t.Logf("%d seeds, %d with several reasons; %d of %d answers not complete; single remaining reasons: %v, %d with exactly their tasks, %d ranks uncertain", seeds, several, incomplete, answers, stated, exact, unsure)
	for _, k := range []string{"hold", "dependency", "backOff", "probe", "teamLimit", "room", "rank", "cordon", "gang"} {
		if stated[k] == 0 {
			t.Errorf("no seed covers reason %s", k)
		}
	}
}

func kindsOf(all []explain.Reason) string {
	var out []string
	for _, r := range all {
		out = append(out, fmt.Sprintf("%s %d %v", r.Kind, r.Tasks, r.BlockedBy))
	}
	return strings.Join(out, "; ")
}

// newCausesScenario returns a scenario with one team that publishes causes, and the causes published last.
func newCausesScenario() (*scenario, *[]predicate.Cause) {
	g := &scenario{rig: newRig(100, config.Team{Name: "red", CPUs: 50, CPUsMax: 90})}
	g.scheduler.deps.ReportCauses = true
	g.scheduler.preemption.nextRun = 1 << 62 // preemption is not checked here
	var told []predicate.Cause
	g.scheduler.deps.SendProgress = func(all []peer.Progress) {
		for _, p := range all {
			if p.HasCauses {
				told = p.Causes
			}
		}
	}
	return g, &told
}

// The causes published for a job that fits nowhere name the predicate that blocks it. A cordon was once published as
// a lack of capacity, and operators rented machines for it.
func TestPublishedCauses(t *testing.T) {
	for _, c := range []struct {
		name   string
		cordon bool
		spec   job.Spec
		want   []predicate.Kind
	}{
		{"no room", false, job.Spec{Tasks: 3, CPUs: 8}, []predicate.Kind{predicate.Capacity}},
		{"no room behind a cordon of others", true, job.Spec{Tasks: 1, CPUs: 64}, []predicate.Kind{predicate.Capacity}},
		{"a cordon", true, job.Spec{Tasks: 1, CPUs: 8}, []predicate.Kind{predicate.Cordon}},
		{"a gang", false, job.Spec{Tasks: 3, CPUs: 8, Gang: true}, []predicate.Kind{predicate.Gang}},
		{"a limit", false, job.Spec{Tasks: 3, CPUs: 40}, []predicate.Kind{predicate.Limit, predicate.Capacity}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, told := newCausesScenario()
			g.deliverView("n-001", "m8", "x", false)
			if c.cordon {
				g.putCordons([]cordon.Cordon{{Name: "c", Reason: "r", Machine: "n-001"}})
			}
			s := c.spec
			s.Class, s.Team, s.MemoryGB, s.Image, s.AnyType, s.Estimate = "k", "red", 1, "i", true, eventloop.Second
			g.rig.acceptJob(1, s)
			g.Advance(2 * eventloop.Second)
			var kinds []predicate.Kind
			for _, x := range *told {
				if x.Kind < predicate.Recording {
					kinds = append(kinds, x.Kind)
				}
			}
			if !slices.Equal(kinds, c.want) {
				t.Fatalf("published %v, want %v", *told, c.want)
			}
		})
	}
}

// The state of a task in flight follows from what its machine's host controller reports, state by state.
func TestTasksInFlightAreReported(t *testing.T) {
	for _, c := range []struct {
		name  string
		show  func(g *rig, task workers.Task)
		wait  eventloop.Micros
		kind  predicate.Kind
		state string
	}{
		{"sent", func(*rig, workers.Task) {}, 0, predicate.Starting, "sent"},
		{"at its host", func(g *rig, x workers.Task) {
			g.workers.ApplyView(&workers.View{Name: "n-001", Type: "m8", Zone: "x", Host: "b", Session: 1, Seq: 99, TokenConfirmed: true, MadeAfter: g.Now(), Pending: []workers.Task{x}})
		}, 0, predicate.Starting, "atItsHost"},
		{"fetching", func(g *rig, x workers.Task) { x.State = wire.TaskFetching; g.deliverView("n-001", "m8", "x", false, x) }, 0, predicate.Fetching, "fetching"},
		{"saving", func(g *rig, x workers.Task) { x.State = wire.TaskSaving; g.deliverView("n-001", "m8", "x", false, x) }, 0, predicate.Saving, "saving"},
		{"running", func(g *rig, x workers.Task) { x.State = wire.TaskRunning; g.deliverView("n-001", "m8", "x", false, x) }, 0, 0, ""},
		{"silent", func(*rig, workers.Task) {}, 12 * eventloop.Second, predicate.Unconfirmed, "silent"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(100, config.Team{Name: "red", CPUs: 50, CPUsMax: 50})
			g.deliverView("n-001", "m8", "x", false)
			id := g.acceptJob(1, job.Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 2, MemoryGB: 1, Image: "i", AnyType: true, Estimate: eventloop.Second})
			g.Advance(300 * eventloop.Millisecond)
			if len(g.starts) != 1 {
				t.Fatalf("got %d starts, want 1", len(g.starts))
			}
			c.show(g, workers.Task{Task: workers.TaskName(id, 0), Attempt: 1})
			g.Advance(c.wait + 50*eventloop.Millisecond)
			f, _ := g.scheduler.Facts(id, nil, true)
			switch {
			case c.kind == 0 && len(f.InFlight) != 0:
				t.Fatalf("reported %+v for a running task", f.InFlight)
			case c.kind != 0 && (len(f.InFlight) != 1 || f.InFlight[0].Kind != c.kind || f.InFlight[0].State != c.state):
				t.Fatalf("reported %+v, want %v %s", f.InFlight, c.kind, c.state)
			}
		})
	}
}

// A cause of another kind is published at once, even if it blocks as many tasks as before.
func TestCauseOfAnotherKindIsPublished(t *testing.T) {
	g, told := newCausesScenario()
	s := job.Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 8, MemoryGB: 1, Image: "i", AnyType: true, Estimate: eventloop.Second}
	g.rig.acceptJob(1, s)
	g.Advance(1500 * eventloop.Millisecond)
	if len(*told) != 1 || (*told)[0].Kind != predicate.Capacity {
		t.Fatalf("published %v for a job without a machine", *told)
	}
	g.putCordons([]cordon.Cordon{{Name: "c", Reason: "r", Machine: "n-001"}})
	g.deliverView("n-001", "m8", "x", false)
	g.Advance(1500 * eventloop.Millisecond)
	if len(*told) != 1 || (*told)[0].Kind != predicate.Cordon {
		t.Fatalf("published %v for a job that only a cordon blocks", *told)
	}
}
