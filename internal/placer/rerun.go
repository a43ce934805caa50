package placer

import "cleatpick/internal/loop"

// reruns tracks the tasks of failed machines until they run again. The time from a machine's last report to the rerun
// is the outage that users observe.
type reruns struct {
	open    int // tasks that do not run again yet
	n       int // reruns since the first of the open tasks failed
	longest loop.Micros
	began   loop.Micros
}

// noteLost records that a task failed with its machine; heard is the time of the machine's last report.
func (p *Placer) noteLost(t *table, i int, heard loop.Micros) {
	x := t.task(i)
	if t.j.Final() || x.fellAt != 0 || heard == 0 {
		return
	}
	x.fellAt = heard
	o := &p.reruns
	if o.open == 0 {
		*o = reruns{began: heard}
	}
	o.open++
}

// noteRerun records that a task runs again, or that it is over and need not run.
func (p *Placer) noteRerun(x *task, runs bool) {
	if x.fellAt == 0 {
		return
	}
	o := &p.reruns
	if took := p.r.Now() - x.fellAt; runs {
		p.n.Meter.Rerun(took)
		o.n++
		o.longest = max(o.longest, took)
	}
	x.fellAt = 0
	if o.open--; o.open == 0 {
		p.log.Info("all tasks of failed machines run again or are over", "tasks", o.n, "longest_us", o.longest, "since_us", p.r.Now()-o.began)
	}
}
