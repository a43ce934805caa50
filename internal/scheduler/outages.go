package scheduler

import "cleatpick/internal/eventloop"

// reruns tracks the tasks of failed machines until they run again. The time from a machine's last report to the rerun
// is the outage that users observe.
type reruns struct {
	pending int // tasks that do not run again yet
	count   int // reruns since the first of the pending tasks failed
	longest eventloop.Micros
	since   eventloop.Micros
}

// recordLost records that a task failed with its machine; lastReport is the time of the machine's last report.
func (sched *Scheduler) recordLost(t *jobTable, i int, lastReport eventloop.Micros) {
	x := t.task(i)
	if t.job.Final() || x.lostSince != 0 || lastReport == 0 {
		return
	}
	x.lostSince = lastReport
	o := &sched.reruns
	if o.pending == 0 {
		*o = reruns{since: lastReport}
	}
	o.pending++
}

// recordRerun records that a task runs again, or that it is finished and need not run.
func (sched *Scheduler) recordRerun(x *task, runs bool) {
	if x.lostSince == 0 {
		return
	}
	o := &sched.reruns
	if took := sched.runner.Now() - x.lostSince; runs {
		sched.deps.Meter.Rerun(took)
		o.count++
		o.longest = max(o.longest, took)
	}
	x.lostSince = 0
	if o.pending--; o.pending == 0 {
		sched.log.Info("all tasks of failed machines run again or are over", "tasks", o.count, "longest_us", o.longest, "since_us", sched.runner.Now()-o.since)
	}
}
