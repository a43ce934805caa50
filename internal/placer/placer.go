package placer

import (
	"log/slog"
	"math/rand/v2"
	"sort"
	"strings"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/member"
	"cleatpick/internal/peer"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// Node is what this slice needs of the node around it.
type Node struct {
	Label string
	Type  func(string) (wire.MachineType, bool)
	// Start, Stop reach the named host, which may be this node.
	Start func(host string, s agent.Start)
	Stop  func(host string, s agent.Stop)
	// Check asks a machine's host for a task list that is certainly new.
	Check func(host, machine string)
	// Reserve tells the host of a choice that is still being recorded.
	Reserve func(host string, s agent.Start)
	// Tally hands the list of misses to the leader.
	Tally func(peer.Tally)
	// Tell hands the counts of owned jobs to the peers.
	Tell func([]peer.Progress)
	// Usage hands the owned teams' use to the peers.
	Usage func([]peer.Usage)
	// Claims hands the peers the room that is kept for preempting jobs.
	Claims func([]peer.Claim)
}

// Placer owns the tables of the owned teams.
type Placer struct {
	r       loop.Runner
	c       *store.Client
	log     *slog.Logger
	cfg     *config.Config
	n       Node
	book    *job.Book
	agent   *agent.Agent
	teams   map[string]*team
	on      map[string]map[ref]struct{} // tasks in use by machine
	health  *health
	placing bool

	zoneMemo map[string]string
	heard    map[string]loop.Micros
	avoid    map[string]loop.Micros            // machines that just dropped a start of ours
	images   map[string]map[string]loop.Micros // images seen in use on a machine
	nonce    uint64
	lastWant []peer.Want
	usage    map[string]peer.Usage
	pre      preemptor
	runs     map[string]runs
	checked  map[string]loop.Micros
}

// New makes the placer.
func New(r loop.Runner, c *store.Client, log *slog.Logger, cfg *config.Config, n Node, book *job.Book, a *agent.Agent) *Placer {
	p := &Placer{r: r, c: c, log: log, cfg: cfg, n: n, book: book, agent: a, teams: map[string]*team{}, on: map[string]map[ref]struct{}{},
		health: newHealth(), zoneMemo: map[string]string{}, heard: map[string]loop.Micros{}, avoid: map[string]loop.Micros{},
		images: map[string]map[string]loop.Micros{}, nonce: rand.Uint64() >> 1, usage: map[string]peer.Usage{},
		pre: preemptor{stopped: map[attempt]loop.Micros{}}, runs: map[string]runs{}, checked: map[string]loop.Micros{}}
	loop.Every(r, 400*loop.Millisecond, p.tick)
	return p
}

// Owned is told when a team is gained or lost.
func (p *Placer) Owned(name string, owned bool, claim member.Owner) {
	if !owned {
		if tm := p.teams[name]; tm != nil {
			for _, t := range tm.jobs {
				p.forgetTable(t)
			}
			delete(p.teams, name)
		}
		return
	}
	cfg, ok := p.cfg.TeamNamed(name)
	if !ok {
		return
	}
	tm := &team{cfg: cfg, claim: claim, jobs: map[string]*table{}}
	p.teams[name] = tm
	p.load(tm)
}

func (p *Placer) forgetTable(t *table) {
	for _, c := range t.chunks {
		for i := range c.tasks {
			if c.tasks[i].inUse() {
				m := c.tasks[i].machine
				delete(p.on[m], ref{t, c.no*chunkSize + i})
				if len(p.on[m]) == 0 {
					delete(p.on, m)
				}
			}
		}
	}
	delete(t.team.jobs, t.j.ID)
}

// load reads what earlier owners recorded. The claim was stored before, and every
// record is conditioned on its claim, so nothing can be added behind this read.
func (p *Placer) load(tm *team) {
	if p.teams[tm.cfg.Name] != tm {
		return
	}
	prefix := tableKeys + tm.cfg.Name + "/"
	p.c.Scan(store.Placements, prefix, func(items []wire.Item, _ uint64, ok bool) {
		if p.teams[tm.cfg.Name] != tm {
			return
		}
		if !ok {
			p.r.After(300*loop.Millisecond, func() { p.load(tm) })
			return
		}
		var unknown []string
		for _, it := range items {
			id := strings.Split(strings.TrimPrefix(it.Key, prefix), "/")[0]
			if p.book.Get(id) == nil {
				unknown = append(unknown, id)
			}
		}
		if len(unknown) > 0 {
			// The table is there, so the job is: only the copy here lags.
			for _, id := range unknown {
				p.book.Refresh(id)
			}
			p.r.After(300*loop.Millisecond, func() { p.load(tm) })
			return
		}
		for _, it := range items {
			p.loadChunk(tm, prefix, it)
		}
		tm.loaded = true
		p.book.Each(func(j *job.Job) { p.Job(j) })
		n := 0
		for _, t := range tm.jobs {
			n += t.inUse
		}
		p.log.Info("team loaded", "team", tm.cfg.Name, "jobs", len(tm.jobs), "tasks", n)
		for _, t := range tm.jobs {
			p.maybeDone(t)
		}
		p.agent.Views(p.View)
		p.Kick()
	})
}

func (p *Placer) loadChunk(tm *team, prefix string, it wire.Item) {
	parts := strings.Split(strings.TrimPrefix(it.Key, prefix), "/")
	var rec chunkRecord
	no := 0
	bad := len(parts) != 2 || wire.Unmarshal(it.Value, &rec) != nil
	if !bad {
		for _, c := range parts[1] {
			no = no*10 + int(c-'0')
		}
	}
	j := p.book.Get(parts[0])
	if bad || j == nil || no < 0 || no*chunkSize >= 1<<20 {
		p.log.Error("corrupt record set aside", "key", it.Key)
		if j != nil {
			t := p.tableOf(tm, j)
			if t != nil {
				t.holdOff = 1 << 62 // nothing is started on the account of a table that cannot be read
			}
		}
		return
	}
	if j.Phase == job.Done || j.Spec == nil {
		return
	}
	t := p.tableOf(tm, j)
	c := t.chunkOf(no * chunkSize)
	c.mark = it.Mark
	for _, z := range rec.Zone {
		p.zoneMemo[z.Machine] = z.Zone
	}
	for _, e := range rec.Tasks {
		i := no*chunkSize + e.Index
		if e.Index < 0 || e.Index >= chunkSize || i >= j.Tasks {
			p.log.Error("corrupt entry set aside", "key", it.Key, "index", e.Index)
			continue
		}
		x := t.task(i)
		x.attempt = e.Attempt
		switch e.State {
		case storedPlaced:
			x.machine, x.session, x.expiry = e.Machine, e.Session, e.Expiry
			p.setTask(t, i, Placed)
		case storedDone:
			p.setTask(t, i, Completed)
		default:
			t.back = append(t.back, i)
		}
	}
	for t.next < j.Tasks && t.touched(t.next) {
		t.next++
	}
}

func (p *Placer) tableOf(tm *team, j *job.Job) *table {
	t := tm.jobs[j.ID]
	if t == nil {
		t = &table{j: j, team: tm, chunks: map[int]*chunk{}, zones: map[string]int{}, failedOn: map[string]bool{}}
		tm.jobs[j.ID] = t
	}
	return t
}

// Job takes in that a job's record is new or has changed.
func (p *Placer) Job(j *job.Job) {
	if j.Spec == nil {
		return
	}
	tm := p.teams[j.Spec.Team]
	if tm == nil || !tm.loaded {
		return
	}
	t := tm.jobs[j.ID]
	if t == nil {
		if j.Final() {
			return
		}
		p.tableOf(tm, j)
		p.Kick()
		return
	}
	if j.Final() {
		p.final(t)
	}
}

// final winds a job up that is over: what may still be on a machine is stopped,
// and counts until it is proven off.
func (p *Placer) final(t *table) {
	for _, c := range t.chunks {
		for k := range c.tasks {
			i := c.no*chunkSize + k
			x := &c.tasks[k]
			if x.state == Recording || (x.state == Placed && x.ours && x.sentTo == "") {
				p.setTask(t, i, Waiting) // no start was ever sent
			} else if x.state == Placed {
				p.stop(t, i, 0)
			}
		}
	}
	if t.inUse == 0 {
		p.forgetTable(t)
		p.sweep(t)
	}
	p.Kick()
}

// sweep removes the table of a job that is over.
func (p *Placer) sweep(t *table) {
	var txn wire.Txn
	for no, c := range t.chunks {
		if c.mark != 0 && len(txn.Then) < p.cfg.Cluster.State.TxnOps {
			txn.Then = append(txn.Then, wire.Change{Delete: chunkKey(t.team.cfg.Name, t.j.ID, no)})
		}
	}
	if len(txn.Then) > 0 && t.j.Phase == job.Withdrawn {
		txn.If = []wire.Cond{member.ClaimCond(t.team.cfg.Name, t.team.claim)}
		p.c.Txn(store.Background, txn, func(store.Result) {})
	}
}

func (p *Placer) stop(t *table, i int, grace loop.Micros) {
	x := t.task(i)
	now := p.r.Now()
	if x.stopAt != 0 && now-x.stopAt < loop.Second {
		return
	}
	if v := p.agent.View(x.machine); v != nil {
		x.stopAt = now
		p.n.Stop(v.Host, agent.Stop{Machine: x.machine, Task: t.name(i), Attempt: x.attempt, Grace: grace})
	}
}

// View takes in a machine's newer view: what became of the tasks recorded on it.
func (p *Placer) View(v *agent.View) {
	now := p.r.Now()
	p.heard[v.Name] = now
	p.zoneMemo[v.Name] = v.Zone
	p.health.view(now, v)
	p.noteRuns(v)
	im := p.images[v.Name]
	if im == nil {
		im = map[string]loop.Micros{}
		p.images[v.Name] = im
	}
	for i := range v.Tasks {
		t := &v.Tasks[i]
		if t.State == wire.TaskRunning || t.State == wire.TaskSaving {
			if id, _, ok := agent.SplitTask(t.Task); ok {
				if j := p.book.Get(id); j != nil && j.Spec != nil {
					im[j.Spec.Image] = now
				}
			}
		}
	}
	for r := range p.on[v.Name] {
		p.judge(r.t, r.i, v)
	}
	if v.Host != "" {
		p.forgets(v)
	}
	p.Kick()
}

// judge draws what a view proves about a task.
func (p *Placer) judge(t *table, i int, v *agent.View) {
	x := t.task(i)
	if x.state != Placed {
		return
	}
	name := t.name(i)
	if v.Session > x.session {
		// The worker began a new session: all tasks of the one before were killed.
		p.off(t, i, "new session")
		return
	}
	if v.Session < x.session {
		return
	}
	e := v.Find(name, x.attempt)
	if e == nil {
		if v.Holds(name, x.attempt) {
			return
		}
		// Absent. That proves something only once the start can no longer
		// arrive: it had expired by every clock, and the worker's patience for
		// an answer that carries it was over, when the list was made; and the
		// machine follows its host's token, so that no earlier command can land.
		safe := x.expiry + p.clockTo() + answerLife
		if v.Settled && v.At > safe {
			p.off(t, i, "absent")
			return
		}
		if now := p.r.Now(); p.r.Wall() > safe && now-p.checked[v.Name] > loop.Second {
			p.checked[v.Name] = now
			p.n.Check(v.Host, v.Name)
		}
		return
	}
	x.seen = true
	if e.Active() {
		run := e.State == wire.TaskRunning
		if run != x.running {
			x.running = run
			if run {
				t.running++
				if x.since == 0 {
					x.since = p.r.Now()
				}
			} else {
				t.running--
			}
		}
		if t.j.Final() {
			p.stop(t, i, 0)
		}
		return
	}
	switch {
	case e.Why == wire.WhyDone && !t.j.Spec.Service:
		p.setTask(t, i, Ended)
		p.dirty(t, t.chunkOf(i), 500*loop.Millisecond)
		t.failures = 0
		p.maybeDone(t)
	case e.Why == wire.WhyError:
		t.failures++
		t.failedOn[v.Name] = true
		p.log.Debug("task failed", "task", name, "machine", v.Name)
		p.backOff(t)
		p.off(t, i, "error")
	case e.Why == wire.WhyBusy:
		// Another attempt of it is there. Until that one is gone, the task is on
		// this machine.
		for k := range v.Tasks {
			if o := &v.Tasks[k]; o.Task == name && o.Active() {
				p.n.Stop(v.Host, agent.Stop{Machine: v.Name, Task: name, Attempt: o.Attempt})
				return
			}
		}
		p.off(t, i, "busy")
	default:
		p.off(t, i, e.Why)
	}
	if t.j.Final() && t.inUse == 0 {
		p.forgetTable(t)
		p.sweep(t)
	}
}

// answerLife is how long a worker waits for the answer to its report, and so how
// long a start in such an answer can be under way.
const answerLife = 4200 * loop.Millisecond

func (p *Placer) clockTo() loop.Micros {
	return loop.Micros(p.cfg.Cluster.ClockOffMS*2*1000) + 200*loop.Millisecond
}

// backOff slows a job down that fails wherever it runs, so that it does not
// make every machine look faulty.
func (p *Placer) backOff(t *table) {
	if len(t.failedOn) >= 3 && t.failures >= 3 {
		d := loop.Second << min(t.failures-3, 5)
		t.holdOff = p.r.Now() + d
		p.log.Info("job fails everywhere, backing off", "job", t.j.ID, "failures", t.failures, "for_us", d)
	}
}

// off takes in that a task was proven off its machine.
func (p *Placer) off(t *table, i int, why string) {
	x := t.task(i)
	p.log.Debug("task off", "task", t.name(i), "machine", x.machine, "attempt", x.attempt, "why", why)
	p.setTask(t, i, Waiting)
	if t.j.Final() && t.inUse == 0 {
		p.forgetTable(t)
		p.sweep(t)
	}
}

// forgets asks a machine to forget ended tasks whose outcome is kept or of no use.
func (p *Placer) forgets(v *agent.View) {
	if !v.Settled {
		return
	}
	for k := range v.Tasks {
		e := &v.Tasks[k]
		if e.Active() {
			continue
		}
		id, i, ok := agent.SplitTask(e.Task)
		if !ok {
			continue
		}
		j := p.book.Get(id)
		if j == nil || j.Final() || j.Spec == nil {
			continue // of a job that is over, the host forgets it by itself
		}
		tm := p.teams[j.Spec.Team]
		if tm == nil || !tm.loaded || tm.jobs[id] == nil || i >= j.Tasks {
			continue
		}
		t := tm.jobs[id]
		x := t.task(i)
		// The start must have expired, or a repeat of it could start the task anew.
		old := e.Attempt < x.attempt || (e.Attempt == x.attempt && (x.state == Completed || x.state == Waiting))
		if old && p.r.Wall() > x.expiry+p.clockTo()+answerLife {
			p.n.Stop(v.Host, agent.Stop{Machine: v.Name, Task: e.Task, Attempt: e.Attempt, Forget: true})
		}
	}
}

// Gone takes in that a machine was deleted, and with it all that was on it.
func (p *Placer) Gone(machine string) {
	for r := range p.on[machine] {
		if r.t.task(r.i).state == Placed {
			p.off(r.t, r.i, "machine gone")
		}
	}
	delete(p.images, machine)
	delete(p.runs, machine)
	delete(p.checked, machine)
	delete(p.heard, machine)
	p.health.gone(machine)
	p.Kick()
}

// Drop takes in that a host will never pass a start on.
func (p *Placer) Drop(from string, d agent.Drop) {
	id, i, ok := agent.SplitTask(d.Task)
	if !ok {
		return
	}
	j := p.book.Get(id)
	if j == nil || j.Spec == nil {
		return
	}
	tm := p.teams[j.Spec.Team]
	if tm == nil || tm.jobs[id] == nil || i >= j.Tasks {
		return
	}
	t := tm.jobs[id]
	x := t.task(i)
	if x.state != Placed || x.attempt != d.Attempt || x.machine != d.Machine {
		return
	}
	// Proof only if no other host was ever given this start.
	if x.ours && !x.spread && x.sentTo == from && !x.seen {
		p.avoid[d.Machine] = p.r.Now() + 300*loop.Millisecond
		p.off(t, i, "dropped: "+d.Why)
		p.Kick()
	}
}

// dirty marks a chunk to be written within d.
func (p *Placer) dirty(t *table, c *chunk, d loop.Micros) {
	due := p.r.Now() + d
	switch c.state {
	case chunkClean:
		c.state, c.due = chunkDirty, due
	case chunkDirty:
		c.due = min(c.due, due)
	case chunkWriting:
		c.state, c.due = chunkWritingDirty, due
	case chunkWritingDirty:
		c.due = min(c.due, due)
	}
	if d == 0 {
		p.write(t, c)
	} else {
		p.r.After(d, func() { p.write(t, c) })
	}
}

// write stores a chunk that is due, on the conditions that this node still owns
// the team, that the job is as known here, and that nothing else was written.
func (p *Placer) write(t *table, c *chunk) {
	if c.state != chunkDirty || p.r.Now() < c.due || p.teams[t.team.cfg.Name] != t.team || t.j.Final() || t.closing {
		return
	}
	p.nonce++
	c.nonce = p.nonce
	expiry := p.r.Wall() + loop.Seconds(p.cfg.Operator.StartLifeS)
	for i := range c.tasks {
		if c.tasks[i].state == Recording {
			c.tasks[i].expiry = expiry
		}
	}
	rec := p.snapshot(t, c)
	c.state = chunkWriting
	p.store(t, c, rec)
}

func (p *Placer) store(t *table, c *chunk, rec chunkRecord) {
	key := chunkKey(t.team.cfg.Name, t.j.ID, c.no)
	prio := store.Results
	for i := range c.tasks {
		if c.tasks[i].state == Recording {
			prio = store.Placements
			break
		}
	}
	again := func(d loop.Micros) { p.r.After(d, func() { p.store(t, c, rec) }) }
	if p.teams[t.team.cfg.Name] != t.team || t.j.Final() {
		return
	}
	mark := c.mark
	p.c.Txn(prio, wire.Txn{
		If:   []wire.Cond{member.ClaimCond(t.team.cfg.Name, t.team.claim), job.Cond(t.j), {Key: key, Mark: mark}},
		Then: []wire.Change{{Put: key, Value: rec}},
	}, func(r store.Result) {
		if p.teams[t.team.cfg.Name] != t.team || t.team.jobs[t.j.ID] != t {
			return
		}
		switch r.Outcome {
		case store.Applied:
			c.mark = r.Tally
			p.stored(t, c, rec)
		case store.Conflict:
			for _, k := range r.Failed {
				switch k {
				case key:
					p.reread(t, c, rec)
					return
				case job.Keys + t.j.ID:
					p.book.Refresh(t.j.ID)
				}
			}
			again(250 * loop.Millisecond)
		case store.Invalid:
			p.log.Error("table record refused", "key", key)
			again(5 * loop.Second)
		default:
			// It may have been stored, or may be later: only this same record
			// is tried until the answer is certain.
			again(150 * loop.Millisecond)
		}
	})
}

// reread finds out whether an unanswered write of this record was carried out after all.
func (p *Placer) reread(t *table, c *chunk, rec chunkRecord) {
	key := chunkKey(t.team.cfg.Name, t.j.ID, c.no)
	p.c.Get(store.Placements, key, func(it wire.Item, found, ok bool) {
		if p.teams[t.team.cfg.Name] != t.team || t.team.jobs[t.j.ID] != t {
			return
		}
		var have chunkRecord
		switch {
		case !ok || (found && wire.Unmarshal(it.Value, &have) != nil):
			p.r.After(200*loop.Millisecond, func() { p.reread(t, c, rec) })
		case found && have.Nonce == rec.Nonce:
			c.mark = it.Mark
			p.stored(t, c, rec)
		default:
			c.mark = it.Mark // 0 when absent
			p.store(t, c, rec)
		}
	})
}

// stored takes in that a chunk's record is in the store: now its starts may go out.
func (p *Placer) stored(t *table, c *chunk, rec chunkRecord) {
	wasDirty := c.state == chunkWritingDirty
	c.state = chunkClean
	for _, e := range rec.Tasks {
		i := c.no*chunkSize + e.Index
		x := t.task(i)
		switch {
		case e.State == storedPlaced && x.state == Recording && x.attempt == e.Attempt:
			x.ours = true
			p.setTask(t, i, Placed)
			if t.j.Final() {
				p.setTask(t, i, Waiting)
			} else {
				p.sendStart(t, i)
			}
		case e.State == storedDone && x.state == Ended:
			p.setTask(t, i, Completed)
		}
	}
	if wasDirty {
		due := c.due
		c.state, c.due = chunkDirty, due
		p.r.After(max(due-p.r.Now(), 0), func() { p.write(t, c) })
	}
	p.maybeDone(t)
}

func (p *Placer) sendStart(t *table, i int) {
	x := t.task(i)
	v := p.agent.View(x.machine)
	if v == nil || p.r.Wall() >= x.expiry {
		if x.sentTo == "" && x.ours {
			p.off(t, i, "not sent in time")
			p.Kick()
		}
		return
	}
	if x.sentTo != "" && x.sentTo != v.Host {
		x.spread = true
	}
	x.sentTo, x.sentAt = v.Host, p.r.Now()
	p.n.Start(v.Host, agent.Start{Machine: x.machine, Session: x.session, Task: t.name(i), Attempt: x.attempt, Expiry: x.expiry, From: p.n.Label})
}

// maybeDone stores a job's completion once all its tasks have completed. The
// same transaction removes what it can of the table, which nobody needs then.
func (p *Placer) maybeDone(t *table) {
	if t.closing || t.j.Final() || t.j.Spec.Service || t.completed < t.j.Tasks || !t.team.loaded {
		return
	}
	t.closing = true
	p.finish(t)
}

func (p *Placer) finish(t *table) {
	if p.teams[t.team.cfg.Name] != t.team || t.j.Final() {
		return
	}
	ch := job.DoneChange(t.j)
	txn := wire.Txn{If: []wire.Cond{member.ClaimCond(t.team.cfg.Name, t.team.claim), job.Cond(t.j)}, Then: []wire.Change{ch}}
	for no, c := range t.chunks {
		if len(txn.Then) < min(p.cfg.Cluster.State.TxnOps, 4) && c.mark != 0 {
			txn.Then = append(txn.Then, wire.Change{Delete: chunkKey(t.team.cfg.Name, t.j.ID, no)})
		}
	}
	p.c.Txn(store.Answers, txn, func(r store.Result) {
		if p.teams[t.team.cfg.Name] != t.team {
			return
		}
		switch r.Outcome {
		case store.Applied:
			p.log.Debug("job done", "job", t.j.ID, "class", t.j.Spec.Class, "tasks", t.j.Tasks, "took_us", p.r.Wall()-t.j.At, "estimate_us", t.j.Spec.Estimate)
			p.book.Learn(ch, r.Tally)
			p.forgetTable(t)
		case store.Conflict:
			p.book.Refresh(t.j.ID)
			p.r.After(250*loop.Millisecond, func() { p.finish(t) })
		default:
			p.r.After(150*loop.Millisecond, func() { p.finish(t) })
		}
	})
}

// tick repeats what may have been lost and tells others what they need.
func (p *Placer) tick() {
	now, wall := p.r.Now(), p.r.Wall()
	for m, on := range p.on {
		v := p.agent.View(m)
		gone := p.agent.IsGone(m)
		for r := range on {
			x := r.t.task(r.i)
			if x.state != Placed {
				continue
			}
			if gone {
				p.off(r.t, r.i, "machine gone")
				continue
			}
			if v == nil {
				continue
			}
			if r.t.j.Final() {
				p.stop(r.t, r.i, 0)
			} else if x.ours && !x.seen && wall < x.expiry && now-x.sentAt > 800*loop.Millisecond &&
				!v.Holds(r.t.name(r.i), x.attempt) && v.Find(r.t.name(r.i), x.attempt) == nil {
				p.sendStart(r.t, r.i)
			}
		}
	}
	p.evict(now, wall)
	var tell []peer.Progress
	var use []peer.Usage
	for _, tm := range p.teams {
		if !tm.loaded {
			continue
		}
		use = append(use, peer.Usage{Team: tm.cfg.Name, CPUs: tm.cpus, GPUs: tm.gpus})
		for _, t := range tm.jobs {
			d, run := int64(t.completed), int64(t.running)
			if d != t.toldDone || run != t.toldRun {
				t.toldDone, t.toldRun = d, run
				tell = append(tell, peer.Progress{Job: t.j.ID, Done: d, Running: run})
			}
		}
	}
	if len(tell) > 0 {
		p.n.Tell(tell)
	}
	if len(use) > 0 {
		p.n.Usage(use)
	}
	p.place()
	p.sendTally()
}

// evict lets tasks save before a spot machine is taken, or one that is not needed is given back.
func (p *Placer) evict(now, wall loop.Micros) {
	p.agent.Views(func(v *agent.View) {
		if v.NoticeAt == 0 && !v.Closed {
			return
		}
		for r := range p.on[v.Name] {
			s := r.t.j.Spec
			x := r.t.task(r.i)
			if v.NoticeAt == 0 {
				// The machine is not needed: what can save itself moves, unless
				// its start would then have been of no use, or it ends soon anyway.
				ran := now - x.since
				if s.Checkpoint > 0 && x.running && ran > 30*loop.Second && s.Estimate-ran > 20*loop.Second {
					p.stop(r.t, r.i, s.Save+loop.Second)
				}
				continue
			}
			if s.Checkpoint > 0 && x.seen && v.NoticeAt-wall < s.Save+3*loop.Second {
				p.stop(r.t, r.i, s.Save+loop.Second)
			}
		}
	})
}

// Counts are a job's counts when its team is owned here.
func (p *Placer) Counts(j *job.Job) (job.Counts, bool) {
	if j.Spec == nil {
		return job.Counts{}, false
	}
	tm := p.teams[j.Spec.Team]
	if tm == nil || tm.jobs[j.ID] == nil {
		return job.Counts{}, false
	}
	t := tm.jobs[j.ID]
	return job.Counts{Done: int64(t.completed), Running: int64(t.running)}, true
}

// Learn takes in what other owners' teams use.
func (p *Placer) Learn(u []peer.Usage) {
	for _, x := range u {
		p.usage[x.Team] = x
	}
}

// Kick asks for a placement pass soon; many causes share one.
func (p *Placer) Kick() {
	if p.placing {
		return
	}
	p.placing = true
	p.r.After(8*loop.Millisecond, func() {
		p.placing = false
		p.place()
	})
}

func (p *Placer) sendTally() {
	t := peer.Tally{Wall: p.r.Wall(), Wants: p.lastWant}
	now := p.r.Now()
	for m := range p.on {
		if h, ok := p.heard[m]; !ok || now-h > 2*loop.Seconds(p.cfg.Cluster.Workers.ReportS)+3*loop.Second {
			t.Suspect = append(t.Suspect, m)
		}
	}
	sort.Strings(t.Suspect)
	p.n.Tally(t)
}
