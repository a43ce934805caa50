package workers

import (
	"slices"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
)

// Changes are the differences between a view and the previous view of the same machine. They make the cost of a
// new view proportional to what changed on the machine rather than to what runs there.
type Changes struct {
	// All is set if no previous view is known or it was of another session.
	All bool
	// Unchanged is set if every task is unchanged; OldIndex and Removed are empty then.
	Unchanged bool
	// OldIndex holds, for each task of the view, its position in the previous view if it is unchanged; -1 if it is
	// new or has changed.
	OldIndex []int
	// Removed holds the positions in the previous view of the tasks that are missing or have changed.
	Removed []int
}

// Kept reports whether a task of the view is unchanged.
func (c *Changes) Kept(i int) bool { return c.Unchanged || (!c.All && c.OldIndex[i] >= 0) }

// OldIndexOf returns the position in the previous view of a task that is unchanged.
func (c *Changes) OldIndexOf(i int) int {
	if c.Unchanged {
		return i
	}
	return c.OldIndex[i]
}

// ChangesSince compares a view with an earlier one. Workers report tasks in the order in which they began, so one
// pass over both lists finds the unchanged ones; with lists in another order, more tasks merely count as changed.
func (v *View) ChangesSince(old *View) Changes {
	if old == nil || old.Session != v.Session {
		return Changes{All: true}
	}
	if v.sameTasks(old) {
		return Changes{Unchanged: true}
	}
	c := Changes{OldIndex: make([]int, len(v.Tasks))}
	i := 0
	for k := range v.Tasks {
		t := &v.Tasks[k]
		c.OldIndex[k] = -1
		at := i
		for at < len(old.Tasks) && !old.Tasks[at].sameAttempt(t) {
			at++
		}
		if at == len(old.Tasks) {
			continue
		}
		for ; i < at; i++ {
			c.Removed = append(c.Removed, i)
		}
		i = at + 1
		if o := &old.Tasks[at]; o.State == t.State && o.Why == t.Why && o.Saved == t.Saved {
			c.OldIndex[k] = at
		} else {
			c.Removed = append(c.Removed, at)
		}
	}
	for ; i < len(old.Tasks); i++ {
		c.Removed = append(c.Removed, i)
	}
	return c
}

// sameTasks reports whether both views list the same tasks in the same states. Where nothing has changed, they
// usually share one slice.
func (v *View) sameTasks(old *View) bool {
	if len(v.Tasks) != len(old.Tasks) {
		return false
	}
	return len(v.Tasks) == 0 || &v.Tasks[0] == &old.Tasks[0] || slices.Equal(v.Tasks, old.Tasks)
}

// sameAttempt reports whether both are the same attempt.
func (t *Task) sameAttempt(o *Task) bool { return t.Attempt == o.Attempt && t.Task == o.Task }

// shareWith takes the jobs of unchanged tasks over from the previous view, and shares its strings and, if all
// tasks are unchanged, its slices.
func (v *View) shareWith(old *View, c *Changes) {
	if c.Unchanged && len(old.jobs) == len(old.Tasks) {
		v.Tasks, v.jobs, v.resolved = old.Tasks, old.jobs, false // both views share the slices
		return
	}
	v.jobs, v.resolved = make([]*job.Job, len(v.Tasks)), false
	if c.All || len(old.jobs) != len(old.Tasks) {
		return
	}
	for k := range v.Tasks {
		if c.Kept(k) {
			i := c.OldIndexOf(k)
			v.jobs[k] = old.jobs[i]
			v.Tasks[k].Task = old.Tasks[i].Task // both views share the string
		}
	}
}

// IndexedTask is a task with its position in a view's list.
type IndexedTask struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Task  Task
}

// Delta is a newer view of a machine, expressed as its differences from a view published before. It can be
// applied only to exactly that view: of the same host, incarnation and session, and of the same report and
// revision. The incarnation matters because a restarted host counts its revisions from the beginning.
type Delta struct {
	Name           string           `cbor:"1,keyasint"`
	Session        uint64           `cbor:"2,keyasint"`
	BaseSeq        uint64           `cbor:"3,keyasint"`
	BaseRev        uint64           `cbor:"4,keyasint"`
	Seq            uint64           `cbor:"5,keyasint"`
	Rev            uint64           `cbor:"6,keyasint"`
	TokenConfirmed bool             `cbor:"7,keyasint,omitempty"`
	MadeAfter      eventloop.Micros `cbor:"8,keyasint"`
	NoticeAt       eventloop.Micros `cbor:"9,keyasint,omitempty"`
	ClosedToStarts bool             `cbor:"10,keyasint,omitempty"`
	Removed        []int            `cbor:"11,keyasint,omitempty"` // positions in the previous list
	Added          []IndexedTask    `cbor:"12,keyasint,omitempty"` // positions in the new list
	Pending        []Task           `cbor:"13,keyasint,omitempty"`
	Incarnation    eventloop.Micros `cbor:"14,keyasint,omitempty"`
	ReportedAt     eventloop.Micros `cbor:"15,keyasint,omitempty"`
	ShownToken     uint64           `cbor:"16,keyasint,omitempty"`
}

// deltaTo returns the differences of v from base; ok is false where only the full view can be sent.
func (v *View) deltaTo(base *View) (d *Delta, ok bool) {
	if base == nil || base.Host != v.Host || base.Incarnation != v.Incarnation || base.Session != v.Session || base.Addr != v.Addr || base.Epoch != v.Epoch {
		return nil, false
	}
	c := v.ChangesSince(base)
	d = &Delta{Name: v.Name, Session: v.Session, BaseSeq: base.Seq, BaseRev: base.Rev, Seq: v.Seq, Rev: v.Rev, TokenConfirmed: v.TokenConfirmed,
		MadeAfter: v.MadeAfter, NoticeAt: v.NoticeAt, ClosedToStarts: v.ClosedToStarts, Removed: c.Removed, Pending: v.Pending, Incarnation: v.Incarnation, ReportedAt: v.ReportedAt, ShownToken: v.ShownToken}
	for k, i := range c.OldIndex {
		if i < 0 {
			d.Added = append(d.Added, IndexedTask{Index: k, Task: v.Tasks[k]})
		}
	}
	return d, true
}

// apply returns the view that results from applying a delta to base; nil if base is not the view that the delta
// was computed from, or the delta is inconsistent.
func (d *Delta) apply(base *View) *View {
	if base == nil || base.Session != d.Session || base.Seq != d.BaseSeq || base.Rev != d.BaseRev || base.Incarnation != d.Incarnation {
		return nil
	}
	kept := len(base.Tasks) - len(d.Removed)
	if kept < 0 {
		return nil
	}
	v := *base
	v.Seq, v.Rev, v.TokenConfirmed, v.MadeAfter, v.NoticeAt, v.ClosedToStarts, v.Pending = d.Seq, d.Rev, d.TokenConfirmed, d.MadeAfter, d.NoticeAt, d.ClosedToStarts, d.Pending
	v.ReportedAt, v.ShownToken = d.ReportedAt, d.ShownToken
	v.jobs, v.resolved = nil, false
	if len(d.Removed)+len(d.Added) == 0 {
		return &v
	}
	v.Tasks = make([]Task, kept+len(d.Added))
	removed, fresh, i := 0, 0, 0
	for k := range v.Tasks {
		if fresh < len(d.Added) && d.Added[fresh].Index == k {
			v.Tasks[k] = d.Added[fresh].Task
			fresh++
			continue
		}
		for removed < len(d.Removed) && d.Removed[removed] == i {
			removed++
			i++
		}
		if i >= len(base.Tasks) {
			return nil
		}
		v.Tasks[k] = base.Tasks[i]
		i++
	}
	if fresh != len(d.Added) || len(base.Tasks)-i != len(d.Removed)-removed {
		return nil
	}
	return &v
}

// Changes of a machine's view are collected before they are published, since a start changes the view in
// several steps in quick succession. The delay grows with the fleet, because the cost of publishing grows with
// the number of machines times the number of controllers.
const (
	minPublishDelay        = 25 * eventloop.Millisecond
	publishDelayPerMachine = 40 // in microseconds per machine of the fleet, if that gives more than minPublishDelay
	maxPublishDelay        = 100 * eventloop.Millisecond
)

// publishDelay returns the delay between the first change of a view and its publication.
func (a *Registry) publishDelay() eventloop.Micros {
	return min(max(minPublishDelay, eventloop.Micros(len(a.views)*publishDelayPerMachine)), maxPublishDelay)
}

// ViewUpdate is what a host publishes of its machines: full views, and deltas for machines whose previous view was
// published.
type ViewUpdate struct {
	Views  []*View
	Deltas []*Delta
}

// publishSoon schedules the publication of the machine's view, together with the changes that follow soon.
func (a *Registry) publishSoon(m *machine) {
	if m.publishScheduled {
		return
	}
	m.publishScheduled = true
	a.toPublish = append(a.toPublish, m)
	if len(a.toPublish) == 1 {
		a.runner.After(a.publishDelay(), a.publish)
	}
}

// publish sends the scheduled views to the peers, as deltas where possible.
func (a *Registry) publish() {
	all := a.toPublish
	a.toPublish = nil
	var n ViewUpdate
	now := a.runner.Now()
	for _, m := range all {
		m.publishScheduled = false
		v := a.views[m.view.Name]
		if a.hosted[m.view.Name] != m || v == nil || v.Host != a.config.Label {
			continue
		}
		if d, ok := v.deltaTo(m.published); ok {
			n.Deltas = append(n.Deltas, d)
		} else {
			n.Views = append(n.Views, v)
		}
		m.published, m.publishedAt = v, now
	}
	if len(n.Views)+len(n.Deltas) > 0 {
		a.config.Publish(n)
	}
}

// ApplyDelta applies a delta of a machine that reports to another controller. It returns true if the full view
// must be requested, since the delta does not apply to the view known here.
func (a *Registry) ApplyDelta(from string, d *Delta) (lost bool) {
	if a.deleted[d.Name] || from == a.config.Label {
		return false
	}
	old := a.views[d.Name]
	if update := (View{Host: from, Session: d.Session, Seq: d.Seq, Rev: d.Rev, ShownToken: d.ShownToken}); !update.newerThan(old) {
		return false // late: a view at least as new is known here
	}
	if old == nil || old.Host != from {
		return true
	}
	v := d.apply(old)
	if v == nil {
		return true
	}
	a.ApplyView(v)
	return false
}

// PublishedViews returns the newest published views of all hosted machines, for a peer to which a new connection was
// made: the deltas that follow apply to them.
func (a *Registry) PublishedViews() (out []*View) {
	for _, m := range eventloop.Sorted(a.hosted) {
		if m.published != nil {
			out = append(out, m.published)
		}
	}
	return out
}

// FullViews returns the newest published views of hosted machines, for a peer that lacks the views to which deltas
// apply.
func (a *Registry) FullViews(names []string) (out []*View) {
	for _, name := range names {
		if m := a.hosted[name]; m != nil && m.published != nil {
			out = append(out, m.published)
		}
	}
	return out
}
