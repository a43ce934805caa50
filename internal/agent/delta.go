package agent

import (
	"slices"

	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// Changes is how a view differs from the one before it of the same machine. What a
// machine's view costs then follows what happened there, not what runs there.
type Changes struct {
	// All: nothing is known of a view before, or it was of another session.
	All bool
	// Still: every task stands as before; From and Gone are empty.
	Still bool
	// From is where each task of the view stood in the one before, unchanged; -1: it is
	// new or stands otherwise.
	From []int
	// Gone are the tasks of the view before that are not here, or stand otherwise here.
	Gone []int
}

// Kept tells whether a task of the view stands as before.
func (c *Changes) Kept(i int) bool { return c.Still || (!c.All && c.From[i] >= 0) }

// Was is where a task that is kept stood in the view before.
func (c *Changes) Was(i int) int {
	if c.Still {
		return i
	}
	return c.From[i]
}

// Since compares a view with one before. Workers report tasks in the order in which they
// began, so that one pass over both lists finds what is alike; a list in another order
// merely looks as if more had changed.
func (v *View) Since(old *View) Changes {
	if old == nil || old.Session != v.Session {
		return Changes{All: true}
	}
	if v.standsAs(old) {
		return Changes{Still: true}
	}
	c := Changes{From: make([]int, len(v.Tasks))}
	i := 0
	for k := range v.Tasks {
		t := &v.Tasks[k]
		c.From[k] = -1
		at := i
		for at < len(old.Tasks) && !old.Tasks[at].is(t) {
			at++
		}
		if at == len(old.Tasks) {
			continue
		}
		for ; i < at; i++ {
			c.Gone = append(c.Gone, i)
		}
		i = at + 1
		if o := &old.Tasks[at]; o.State == t.State && o.Why == t.Why && o.Saved == t.Saved {
			c.From[k] = at
		} else {
			c.Gone = append(c.Gone, at)
		}
	}
	for ; i < len(old.Tasks); i++ {
		c.Gone = append(c.Gone, i)
	}
	return c
}

// standsAs tells whether both views list the same tasks alike. Where nothing has changed,
// they mostly share one list.
func (v *View) standsAs(old *View) bool {
	if len(v.Tasks) != len(old.Tasks) {
		return false
	}
	return len(v.Tasks) == 0 || &v.Tasks[0] == &old.Tasks[0] || slices.Equal(v.Tasks, old.Tasks)
}

func (t *Task) is(o *Task) bool { return t.Attempt == o.Attempt && t.Task == o.Task }

// inherit takes over what was found out of the tasks that stand as before.
func (v *View) inherit(old *View, c *Changes) {
	if c.Still && len(old.jobs) == len(old.Tasks) {
		v.Tasks, v.jobs, v.resolved = old.Tasks, old.jobs, false // one list for both
		return
	}
	v.jobs, v.resolved = make([]*job.Job, len(v.Tasks)), false
	if c.All || len(old.jobs) != len(old.Tasks) {
		return
	}
	for k := range v.Tasks {
		if c.Kept(k) {
			i := c.Was(k)
			v.jobs[k] = old.jobs[i]
			v.Tasks[k].Task = old.Tasks[i].Task // one string for both
		}
	}
}

// Placed is a task with its place in a view's list.
type Placed struct {
	_    struct{} `cbor:",toarray"`
	At   int
	Task Task
}

// Delta is a machine's newer view, told by how it differs from one told before. It is of
// use only to who has exactly that one: of the same host, its life and the session, and of
// the same report and revision, since a host that began anew counts its revisions anew.
type Delta struct {
	Name     string      `cbor:"1,keyasint"`
	Session  uint64      `cbor:"2,keyasint"`
	BaseSeq  uint64      `cbor:"3,keyasint"`
	BaseRev  uint64      `cbor:"4,keyasint"`
	Seq      uint64      `cbor:"5,keyasint"`
	Rev      uint64      `cbor:"6,keyasint"`
	Settled  bool        `cbor:"7,keyasint,omitempty"`
	At       loop.Micros `cbor:"8,keyasint"`
	NoticeAt loop.Micros `cbor:"9,keyasint,omitempty"`
	Closed   bool        `cbor:"10,keyasint,omitempty"`
	Gone     []int       `cbor:"11,keyasint,omitempty"` // places in the list before
	New      []Placed    `cbor:"12,keyasint,omitempty"` // places in the list after
	Pending  []Task      `cbor:"13,keyasint,omitempty"`
	Life     loop.Micros `cbor:"14,keyasint,omitempty"`
	Reported loop.Micros `cbor:"15,keyasint,omitempty"`
}

// deltaTo tells v by how it differs from base; ok is false where only a full view will do.
func (v *View) deltaTo(base *View) (d *Delta, ok bool) {
	if base == nil || base.Host != v.Host || base.Life != v.Life || base.Session != v.Session || base.Addr != v.Addr {
		return nil, false
	}
	c := v.Since(base)
	d = &Delta{Name: v.Name, Session: v.Session, BaseSeq: base.Seq, BaseRev: base.Rev, Seq: v.Seq, Rev: v.Rev, Settled: v.Settled,
		At: v.At, NoticeAt: v.NoticeAt, Closed: v.Closed, Gone: c.Gone, Pending: v.Pending, Life: v.Life, Reported: v.Reported}
	for k, i := range c.From {
		if i < 0 {
			d.New = append(d.New, Placed{At: k, Task: v.Tasks[k]})
		}
	}
	return d, true
}

// apply makes the view that a delta tells, from the view that it was told against; nil
// where that is not this one, or the delta makes no sense.
func (d *Delta) apply(base *View) *View {
	if base == nil || base.Session != d.Session || base.Seq != d.BaseSeq || base.Rev != d.BaseRev || base.Life != d.Life {
		return nil
	}
	kept := len(base.Tasks) - len(d.Gone)
	if kept < 0 {
		return nil
	}
	v := *base
	v.Seq, v.Rev, v.Settled, v.At, v.NoticeAt, v.Closed, v.Pending = d.Seq, d.Rev, d.Settled, d.At, d.NoticeAt, d.Closed, d.Pending
	v.Reported = d.Reported
	v.jobs, v.resolved = nil, false
	if len(d.Gone)+len(d.New) == 0 {
		return &v
	}
	v.Tasks = make([]Task, kept+len(d.New))
	gone, fresh, i := 0, 0, 0
	for k := range v.Tasks {
		if fresh < len(d.New) && d.New[fresh].At == k {
			v.Tasks[k] = d.New[fresh].Task
			fresh++
			continue
		}
		for gone < len(d.Gone) && d.Gone[gone] == i {
			gone++
			i++
		}
		if i >= len(base.Tasks) {
			return nil
		}
		v.Tasks[k] = base.Tasks[i]
		i++
	}
	if fresh != len(d.New) || len(base.Tasks)-i != len(d.Gone)-gone {
		return nil
	}
	return &v
}

// Changes of a machine's view are gathered before they are told, since a start is seen in
// several steps that follow each other closely. The larger the fleet, the longer: what
// each machine costs all nodes is what grows with machines times nodes.
const (
	gather     = 25 * loop.Millisecond
	gatherEach = 40 // microseconds for each machine of the fleet, where that is more
	gatherMost = 100 * loop.Millisecond
)

func (a *Agent) gatherFor() loop.Micros {
	return min(max(gather, loop.Micros(len(a.views)*gatherEach)), gatherMost)
}

// News is what a host tells the other nodes of its machines.
type News struct {
	Views  []*View
	Deltas []*Delta
}

// publishSoon tells the peers of the machine's view, together with what follows soon.
func (a *Agent) publishSoon(m *machine) {
	if m.publishing {
		return
	}
	m.publishing = true
	a.toPublish = append(a.toPublish, m)
	if len(a.toPublish) == 1 {
		a.r.After(a.gatherFor(), a.publish)
	}
}

func (a *Agent) publish() {
	all := a.toPublish
	a.toPublish = nil
	var n News
	now := a.r.Now()
	for _, m := range all {
		m.publishing = false
		v := a.views[m.view.Name]
		if a.hosted[m.view.Name] != m || v == nil || v.Host != a.h.Label {
			continue
		}
		if d, ok := v.deltaTo(m.told); ok {
			n.Deltas = append(n.Deltas, d)
		} else {
			n.Views = append(n.Views, v)
		}
		m.told, m.sent = v, now
	}
	if len(n.Views)+len(n.Deltas) > 0 {
		a.h.Publish(n)
	}
}

// LearnDelta takes in how a machine that reports to another node has changed there. It
// tells whether the full view must be asked for.
func (a *Agent) LearnDelta(from string, d *Delta) (lost bool) {
	if a.gone[d.Name] || from == a.h.Label {
		return false
	}
	old := a.views[d.Name]
	if told := (View{Host: from, Session: d.Session, Seq: d.Seq, Rev: d.Rev}); !told.newer(old) {
		return false // late: as much is known here
	}
	if old == nil || old.Host != from {
		return true
	}
	v := d.apply(old)
	if v == nil {
		return true
	}
	a.Learn(v)
	return false
}

// Full are the newest views of hosted machines, for a peer that lacks what was told before.
func (a *Agent) Full(names []string) (out []*View) {
	for _, name := range names {
		if m := a.hosted[name]; m != nil && m.told != nil {
			out = append(out, m.told)
		}
	}
	return out
}
