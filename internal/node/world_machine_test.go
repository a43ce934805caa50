package node

import (
	"fmt"
	"sort"

	"cleatpick/internal/agent"
	"cleatpick/internal/loop"
	"cleatpick/internal/loss"
	"cleatpick/internal/standin"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// probe returns what a controller finds that probes a worker. A machine that hangs accepts connections.
func (w *world) probe(from, addr string) loss.ProbeResult {
	x := w.workers[addr[len("worker:"):]]
	switch {
	case x == nil || x.gone || x.deaf || w.toWorker(from, x) != open:
		return loss.NoConnection
	case x.hanging:
		return loss.NoAnswer
	}
	x.w.Report()
	return loss.Answered
}

// direct sends a command directly to a worker.
func (w *world) direct(from, addr, path string, body []byte) store.Response {
	x := w.workers[addr[len("worker:"):]]
	if x == nil || x.gone {
		return store.Response{Err: errLost}
	}
	sent := w.directLeaves(from, x, path, body)
	if x.deaf {
		return store.Response{Err: errLost}
	}
	if x.hanging || w.heldUp > 0 && w.rng.Float64() < w.heldUp {
		// It is executed all the same: when the machine resumes, or seconds later.
		w.at(w.between(loop.Second, 10*loop.Second), func() {
			w.awake(x, func() {
				x.w.Tick(w.now) // its lease may have expired
				w.carryOut(from, x, path, body)
				x.arrives(sent)
			})
		})
		return store.Response{Err: errLost}
	}
	return w.crossBy(w.toWorker(from, x), func() store.Response {
		resp := w.carryOut(from, x, path, body)
		x.arrives(sent)
		return resp
	})
}

// directLeaves records that a direct command is sent by its host controller; nil if it contains no starts.
func (w *world) directLeaves(from string, x *simWorker, path string, body []byte) *flight {
	if path != "/commands" {
		return nil
	}
	var c wire.Commands
	if err := wire.Unmarshal(body, &c); err != nil {
		w.fail("a direct command cannot be decoded: %v", err)
	}
	return w.leaves(x, directWay(from), c, c.Session, 0)
}

// asleep reports whether a machine hangs and its lease has expired.
func (x *simWorker) asleep(now loop.Micros) bool { return x.hanging && x.w.LeaseOver(now) }

// awake calls f as soon as a machine does not hang, unless it is deleted before.
func (w *world) awake(x *simWorker, f func()) {
	switch {
	case x.gone:
	case x.hanging:
		w.at(300*loop.Millisecond, func() { w.awake(x, f) })
	default:
		f()
	}
}

// carryOut executes a command that has reached a machine.
func (w *world) carryOut(from string, x *simWorker, path string, body []byte) store.Response {
	if x.gone || x.hanging {
		return store.Response{Err: errLost}
	}
	w.note(from+" to "+x.w.Name+path, body)
	if path == "/inspect" {
		return store.Response{Status: 200, Body: wire.Marshal(x.w.Report())}
	}
	var c wire.Commands
	if err := wire.Unmarshal(body, &c); err != nil {
		w.fail("a direct command cannot be decoded: %v", err)
	}
	status, r := x.w.Command(w.now, c)
	return store.Response{Status: status, Body: wire.Marshal(r)}
}

// boot starts the worker of a machine that the cloud created.
func (w *world) boot(m wire.Listed) {
	x := &simWorker{w: standin.NewWorker(w.now, loop.Seconds(w.cfg.Cluster.Workers.LeaseS)), at: w.rng.IntN(len(w.labels)), flights: map[*flight]struct{}{}}
	x.w.Name, x.w.Addr, x.w.Type, x.w.Zone, x.w.Spot = m.Name, m.Addr, m.Type, m.Zone, m.Spot
	x.w.CPUs, x.w.MemoryGB = w.cloud.Types[0].CPUs, w.cloud.Types[0].MemoryGB
	x.w.Job = func(id string) (standin.Job, bool) {
		j := w.jobs[id]
		if j == nil {
			return standin.Job{}, false
		}
		return standin.Job{CPUs: j.spec.CPUs, MemoryGB: j.spec.MemoryGB, Run: j.run, Tasks: j.spec.Tasks, Broken: j.broken, Every: j.every, FailsAfter: j.failsIn, Later: j.later}, true
	}
	x.w.Began = func(task, _ string) { w.began(x, task) }
	x.w.Left = func(task, why string) {
		if why == "lease" && w.onLease != nil {
			w.onLease(x, task)
		}
		w.left(task, why)
	}
	x.w.Revived = func(task string, attempt uint64) { w.revived(x, task, attempt) }
	x.w.Faulty = w.rng.Float64() < 0.05
	if _, gone := w.workers[m.Name]; gone {
		return
	}
	w.workers[m.Name] = x
	w.beat(x)
}

// destroy ends a machine that the cloud deleted.
func (w *world) destroy(name string) {
	x := w.workers[name]
	if x == nil {
		w.workers[name] = &simWorker{gone: true, w: standin.NewWorker(w.now, 1)}
		return
	}
	x.gone = true
	x.w.Destroy()
}

// beat sends a worker's reports, one in flight at a time.
func (w *world) beat(x *simWorker) {
	if x.gone {
		return
	}
	again := func(d loop.Micros) { w.at(d, func() { w.beat(x) }) }
	if x.hanging {
		again(300 * loop.Millisecond)
		return
	}
	x.w.Tick(w.now)
	r := x.w.Report()
	sent := w.now
	label := w.labels[x.at]
	s := w.nodes[label]
	answered := false
	next := func() {
		x.at = (x.at + 1) % len(w.labels)
		again(loop.Second)
	}
	if x.mute {
		next()
		return
	}
	gen := s.gen
	deliver := func() {
		s.enter(gen, func() {
			s.n.agent.Report(r, func(a agent.Answer) {
				c, _ := a.Body.(wire.Commands)
				starts := w.leaves(x, answerWay(label), c, r.Session, sent+answerPatience)
				w.at(w.answerDelay(), func() {
					if answered || x.gone || x.deaf || x.mute || w.toWorker(label, x) != open {
						return
					}
					answered = true
					w.note(fmt.Sprint(label, " answers ", x.w.Name, a.Status), wire.Marshal(a.Body))
					if a.Status == 200 {
						c, ok := a.Body.(wire.Commands)
						if !ok {
							w.fail("a report is answered with a body of type %T, want wire.Commands", a.Body)
						}
						w.awake(x, func() { // what arrived while it hung is read when it resumes
							x.w.Tick(w.now)
							x.w.Answered(w.now, sent, r.Session, c)
							x.arrives(starts)
						})
						each := loop.Seconds(w.cfg.Cluster.Workers.ReportS)
						again(w.between(each*3/4, each*5/4))
						return
					}
					if to, ok := a.Body.(wire.ReportTo); ok && to.Node != "" && to.Node != label {
						for i, l := range w.labels {
							if l == to.Node {
								x.at = i
							}
						}
						again(w.between(0, 500*loop.Millisecond))
						return
					}
					next()
				})
			})
		})
	}
	switch w.toWorker(label, x) {
	case open:
		w.at(w.between(300, 2000), deliver)
		w.copyLate(r)
	case holding:
		w.at(w.between(5*loop.Second, 40*loop.Second), deliver) // a late report
	}
	w.at(4*loop.Second, func() {
		if !answered {
			answered = true
			next()
		}
	})
}

// copyLate delivers copies of some reports again, to any controller and up to four leases later, and sometimes a copy
// of the copy.
func (w *world) copyLate(r wire.Report) {
	if w.copies == 0 || w.rng.Float64() >= w.copies {
		return
	}
	lease := loop.Seconds(w.cfg.Cluster.Workers.LeaseS)
	w.at(w.between(loop.Second, [...]loop.Micros{5 * loop.Second, lease, 4 * lease}[w.rng.IntN(3)]), func() {
		s := w.nodes[w.anyLabel()]
		s.enter(s.gen, func() { s.n.agent.Report(r, func(agent.Answer) {}) })
		w.copyLate(r)
	})
}

// rebirth restarts machines at once under the same names, which ends all tasks on them. Their session numbers go on
// from where they were: by the protocol, the larger of two is the newer.
func (w *world) rebirth(names []string) {
	for _, name := range names {
		if x := w.workers[name]; !x.gone {
			x.w.Restart(w.now)
		}
	}
}

// live advances the workers' own time between their reports.
func (w *world) live() {
	names := make([]string, 0, len(w.workers))
	for name := range w.workers {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if x := w.workers[name]; !x.gone && !x.hanging {
			x.w.Tick(w.now)
		}
	}
	w.at(250*loop.Millisecond, w.live)
}
