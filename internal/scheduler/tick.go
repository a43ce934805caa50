package scheduler

import (
	"slices"
	"sort"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/peer"
	"cleatpick/internal/workers"
)

// tick repeats messages that may have been lost, and publishes usage, progress and demand.
func (sched *Scheduler) tick() {
	now, wall := sched.runner.Now(), sched.runner.Wall()
	sched.turnover.Tick(now)
	sched.resendStarts(now, wall)
	if now >= sched.nextSweepAt {
		sched.nextSweepAt = now + sweepInterval
		sched.sweep()
		sched.moveInheritedLogs()
		sched.expiries.Prune(wall)
	}
	sched.evict(now, wall)
	var progress []peer.Progress
	var usage []peer.Usage
	for _, tm := range eventloop.Sorted(sched.teams) {
		if !tm.loaded {
			continue
		}
		sched.applyTerms(tm)
		usage = append(usage, peer.Usage{Team: tm.cfg.Name, CPUs: tm.cpus, GPUs: tm.gpus})
		anyUnplaced := false
		for _, t := range tm.inOrder() {
			anyUnplaced = anyUnplaced || t.unplacedSince != 0
			d, run := int64(t.completed), int64(t.running)
			changed := d != t.sentDone || run != t.sentRunning
			if sched.deps.ReportCauses && !t.job.Final() && sched.updateCauses(t, now-sched.staleAfter(), wall) {
				changed = true
			}
			if changed {
				t.sentDone, t.sentRunning = d, run
				update := peer.Progress{Job: t.job.ID, Done: d, Running: run}
				if sched.deps.ReportCauses {
					update.Causes, update.HasCauses, update.At = t.causes, true, wall
				}
				progress = append(progress, update)
			}
		}
		sched.trackGuarantee(tm, anyUnplaced, now)
	}
	if len(progress) > 0 {
		sched.deps.SendProgress(progress)
	}
	if len(usage) > 0 {
		sched.deps.SendUsage(usage)
	}
	sched.RequestPass()
	sched.sendDemand()
}

// resendStarts sends a start again if 800 ms later no view of its machine shows it.
func (sched *Scheduler) resendStarts(now, wall eventloop.Micros) {
	var machines []string
	for m, on := range sched.tasksByMachine {
		if len(on.unresolved) > 0 {
			machines = append(machines, m)
		}
	}
	slices.Sort(machines)
	for _, m := range machines {
		v := sched.workers.View(m)
		if v == nil {
			continue
		}
		for _, r := range sortedRefs(sched.tasksByMachine[m].unresolved) {
			x := r.table.task(r.index)
			if x.state == Placed && x.recordedHere && !x.listed && !r.table.job.Final() && wall < x.expiry && now-x.sentAt > 800*eventloop.Millisecond &&
				!v.HasPending(r.table.taskName(r.index), x.attempt) && v.Find(r.table.taskName(r.index), x.attempt) == nil {
				sched.sendStart(r.table, r.index)
			}
		}
	}
}

// sweepInterval is the interval at which all tasks in use are checked. Views, deletions and the end of a job take
// effect at once; the sweep repeats commands that were lost.
const sweepInterval = 2 * eventloop.Second

// sweep repeats the stops of tasks whose job is final, and frees tasks on deleted machines.
func (sched *Scheduler) sweep() {
	for m, on := range eventloop.Sorted(sched.tasksByMachine) {
		gone := sched.workers.IsDeleted(m)
		due := map[taskRef]struct{}{} // usually few of the tasks in use
		for r := range on.all {
			if gone || r.table.job.Final() {
				due[r] = struct{}{}
			}
		}
		for _, r := range sortedRefs(due) {
			if r.table.task(r.index).state != Placed {
				continue
			}
			if gone {
				sched.confirmTerminated(r.table, r.index, "machine gone")
			} else {
				sched.stop(r.table, r.index, 0)
			}
		}
	}
}

// moveInheritedLogs schedules moving the logs that teams brought into a partition into the log of the partition, even
// if nothing else is to be recorded. Until that is done every load of the partition reads them as well.
func (sched *Scheduler) moveInheritedLogs() {
	for _, part := range sched.partitions {
		if part.log.hasInherited() {
			sched.scheduleCommit(0)
			return
		}
	}
}

// evict stops tasks in time to save a checkpoint before a spot machine is reclaimed, or before a machine that is not
// needed is returned.
func (sched *Scheduler) evict(now, wall eventloop.Micros) {
	sched.workers.EachView(func(v *workers.View) {
		if v.NoticeAt == 0 && !v.ClosedToStarts {
			return
		}
		sched.eachInUse(v.Name, func(r taskRef) {
			s := r.table.job.Spec
			x := r.table.task(r.index)
			if v.NoticeAt == 0 {
				// The machine is not needed: tasks that can save a checkpoint move to another one, except tasks that
				// began recently, whose start would have been wasted, and tasks that end soon anyway.
				ran := now - x.runningSince
				if s.Checkpoint > 0 && x.running && ran > 30*eventloop.Second && s.Estimate-ran > 20*eventloop.Second {
					sched.stop(r.table, r.index, s.Save+eventloop.Second)
				}
				return
			}
			if s.Checkpoint > 0 && x.listed && v.NoticeAt-wall < s.Save+3*eventloop.Second {
				sched.stop(r.table, r.index, s.Save+eventloop.Second)
			}
		})
	})
}

// sendDemand sends the unplaced requests, and the machines with tasks whose reports are overdue, to the leader.
func (sched *Scheduler) sendDemand() {
	t := peer.Demand{Wall: sched.runner.Wall(), Requests: sched.unplacedRequests}
	now := sched.runner.Now()
	for m := range sched.tasksByMachine {
		if record := sched.fleet.Machine(m); record == nil || now-record.LastReport > sched.staleAfter() {
			t.Suspect = append(t.Suspect, m)
		}
	}
	sort.Strings(t.Suspect)
	for _, m := range t.Suspect {
		if since := sched.earliestCancellation(m); since != 0 {
			t.Cancelled = append(t.Cancelled, peer.CancelledTasks{Machine: m, Since: since})
		}
	}
	sched.deps.SendDemand(t)
}

// earliestCancellation returns the wall-clock time of the earliest cancellation of a job with a task in use on the machine;
// 0: there is none.
func (sched *Scheduler) earliestCancellation(machine string) (earliest eventloop.Micros) {
	for r := range sched.tasksByMachine[machine].all {
		at := r.table.job.CancelledAt
		if at != 0 && (earliest == 0 || at < earliest) {
			earliest = at
		}
	}
	return earliest
}
