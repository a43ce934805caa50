package fake

import (
	"slices"
	"strconv"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/wire"
)

// Job is the part of a job's description that a worker needs to simulate its tasks. Start commands
// don't carry it: workers fetch it on their own, here by Worker.Job.
type Job struct {
	CPUs, MemoryGB float64
	Run            eventloop.Micros // how long the first task runs
	Tasks          int
	Broken         bool             // fails on every machine
	FailsEvery     int              // of a broken job, only the tasks whose index is a multiple of this fail; 0: all fail
	FailsAfter     eventloop.Micros // run time of a task that fails
	RunIncrement   eventloop.Micros // how much longer each task runs than the one before it
}

// duration returns how long a task runs.
func (j *Job) duration(task string) eventloop.Micros {
	return j.Run + eventloop.Micros(taskIndex(task))*j.RunIncrement
}

// fails reports whether the task fails on every machine.
func (j *Job) fails(task string) bool {
	return j.Broken && (j.FailsEvery == 0 || taskIndex(task)%j.FailsEvery == 0)
}

// workerTask is an attempt of a task on the machine. Exited attempts stay until a forget command arrives.
type workerTask struct {
	task    string
	attempt uint64
	state   string
	why     string
	until   eventloop.Micros // when the present state ends
	fails   bool             // it then ends with an error
}

// attemptKey identifies an attempt of a task.
type attemptKey struct {
	task    string
	attempt uint64
}

// Worker is a fake of the worker of one machine. It has no sockets and no timers: the caller passes it messages and
// the time. A worker is for one goroutine at a time.
type Worker struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	CPUs, MemoryGB         float64
	Faulty                 bool // the machine fails every task
	Job                    func(id string) (Job, bool)
	// OnTaskStart and OnTaskEnd notify an invariant checker that a task occupies the machine, and that it no longer does.
	OnTaskStart, OnTaskEnd func(task string, why string)
	// OnForgottenStart notifies an invariant checker that a start command arrived after the forget command of the same
	// attempt. The worker no longer knows the attempt and starts it again. It may be nil.
	OnForgottenStart func(task string, attempt uint64)

	// forgotten are the attempts that forget commands removed in this session; kept only if OnForgottenStart is set.
	forgotten           map[attemptKey]struct{}
	session, seq, token uint64
	tasks               []*workerTask
	lastAnswered        eventloop.Micros // when the newest answered report was sent
	lease               eventloop.Micros
}

// NewWorker returns the worker of a machine that booted at now. If no report is answered for the duration of the
// lease, the worker ends its tasks and begins a new session.
func NewWorker(now, lease eventloop.Micros) *Worker {
	return &Worker{session: 1, lastAnswered: now, lease: lease}
}

// endTask marks a task as exited, unless it already is.
func (w *Worker) endTask(t *workerTask, why string) {
	if t.state == wire.TaskExited {
		return
	}
	t.state, t.why = wire.TaskExited, why
	w.OnTaskEnd(t.task, why)
}

// LeaseExpired reports whether the lease expired, so that the next Tick ends all tasks.
func (w *Worker) LeaseExpired(now eventloop.Micros) bool { return now-w.lastAnswered > w.lease }

// Tick updates the machine to the time now: an expired lease ends all tasks and the session, and tasks start to run,
// finish or fail.
func (w *Worker) Tick(now eventloop.Micros) {
	if w.LeaseExpired(now) {
		for _, t := range w.tasks {
			w.endTask(t, "lease")
		}
		w.tasks, w.lastAnswered = nil, now
		w.session++
		w.seq = 0
		w.forgotten = nil
	}
	for _, t := range w.tasks {
		if t.state == wire.TaskExited || now < t.until {
			continue
		}
		if t.state == wire.TaskFetching {
			j, _ := w.Job(jobID(t.task))
			t.state, t.until = wire.TaskRunning, now+j.duration(t.task)
			if w.Faulty || j.fails(t.task) {
				t.fails, t.until = true, now
				if !w.Faulty {
					t.until += j.FailsAfter
				}
			}
			if !t.fails || t.until > now {
				continue
			}
		}
		if t.fails {
			w.endTask(t, wire.WhyError)
			continue
		}
		w.endTask(t, wire.WhyDone)
	}
}

// taskIndex returns the index of a task in its job.
func taskIndex(task string) int {
	no, _ := strconv.Atoi(task[len(jobID(task))+1:])
	return no
}

// jobID returns the ID of a task's job.
func jobID(task string) string {
	for i := len(task) - 1; i >= 0; i-- {
		if task[i] == '/' {
			return task[:i]
		}
	}
	return task
}

// Destroy ends all tasks, as the deletion of the machine does.
func (w *Worker) Destroy() {
	for _, t := range w.tasks {
		w.endTask(t, "gone")
	}
	w.tasks = nil
}

// Restart ends all tasks and begins a new session, which has not seen any token.
func (w *Worker) Restart(now eventloop.Micros) {
	w.Destroy()
	w.session++
	w.seq, w.token, w.lastAnswered = 0, 0, now
	w.forgotten = nil
}

// RestartAsNew ends all tasks and begins as a machine that has just booted: in session 1, with no report sent and no token
// seen.
func (w *Worker) RestartAsNew(now eventloop.Micros) {
	w.Restart(now)
	w.session = 1
}

// Exited lists the attempts that have exited and that the worker has not been told to forget.
func (w *Worker) Exited() (exited []wire.Command) {
	for _, t := range w.tasks {
		if t.state == wire.TaskExited {
			exited = append(exited, wire.Command{Task: t.task, Attempt: t.attempt})
		}
	}
	return exited
}

// Active reports whether an attempt is on the machine and has not exited.
func (w *Worker) Active(task string, attempt uint64) bool {
	t := w.find(task, attempt)
	return t != nil && t.state != wire.TaskExited
}

// Session returns the number of the present session.
func (w *Worker) Session() uint64 { return w.session }

// Token returns the highest token that the worker has seen.
func (w *Worker) Token() uint64 { return w.token }

// LastAnswered returns when the newest answered report was sent.
func (w *Worker) LastAnswered() eventloop.Micros { return w.lastAnswered }

// Report returns the next report to send.
func (w *Worker) Report() wire.Report {
	w.seq++
	r := wire.Report{Machine: w.Name, Addr: w.Addr, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Session: w.session, Seq: w.seq, Token: w.token, Tasks: []wire.ReportTask{}}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, wire.ReportTask{Task: t.task, Attempt: t.attempt, State: t.state, Why: t.why})
	}
	return r
}

// HandleAnswer applies an answer with status 200 to a report that was sent at the given time in the given session. An
// answer from an earlier session, with a lower token than the highest seen, or more than 4 s after the report, is
// dropped.
func (w *Worker) HandleAnswer(now, sent eventloop.Micros, session uint64, c wire.Commands) {
	if session != w.session || c.Token < w.token || now-sent > 4*eventloop.Second {
		return
	}
	w.token, w.lastAnswered = c.Token, sent
	w.run(now, c.Commands)
}

// HandleCommands applies direct commands and returns the HTTP status and a report. Commands with a lower token than the
// highest seen, or for another session, are refused with 409.
func (w *Worker) HandleCommands(now eventloop.Micros, c wire.Commands) (int, wire.Report) {
	if c.Token < w.token || c.Session != w.session {
		return 409, w.Report()
	}
	w.token = c.Token
	w.run(now, c.Commands)
	return 200, w.Report()
}

// find returns the attempt of a task, or nil.
func (w *Worker) find(task string, attempt uint64) *workerTask {
	for _, t := range w.tasks {
		if t.task == task && t.attempt == attempt {
			return t
		}
	}
	return nil
}

// run carries out commands in order.
func (w *Worker) run(now eventloop.Micros, commands []wire.Command) {
	for _, c := range commands {
		t := w.find(c.Task, c.Attempt)
		switch c.Op {
		case wire.OpStart:
			if t == nil {
				w.start(now, c)
			}
		case wire.OpStop:
			if t != nil {
				w.endTask(t, wire.WhyStopped)
			}
		case wire.OpForget:
			if t != nil && t.state == wire.TaskExited {
				w.forget(t)
			}
		}
	}
}

// forget removes an exited attempt, so that reports no longer list it.
func (w *Worker) forget(t *workerTask) {
	w.tasks = slices.DeleteFunc(w.tasks, func(x *workerTask) bool { return x == t })
	if w.OnForgottenStart == nil {
		return
	}
	if w.forgotten == nil {
		w.forgotten = map[attemptKey]struct{}{}
	}
	w.forgotten[attemptKey{t.task, t.attempt}] = struct{}{}
}

// start starts an attempt, or records it as exited if its job is unknown, another attempt of the task is active or
// the machine lacks capacity.
func (w *Worker) start(now eventloop.Micros, c wire.Command) {
	if _, was := w.forgotten[attemptKey{c.Task, c.Attempt}]; was {
		w.OnForgottenStart(c.Task, c.Attempt)
	}
	t := &workerTask{task: c.Task, attempt: c.Attempt, state: wire.TaskExited}
	w.tasks = append(w.tasks, t)
	j, ok := w.Job(jobID(c.Task))
	if !ok {
		t.why = wire.WhyUnknown
		return
	}
	cpus, mem := w.CPUs-j.CPUs, w.MemoryGB-j.MemoryGB
	for _, x := range w.tasks {
		if x == t || x.state == wire.TaskExited {
			continue
		}
		if x.task == t.task {
			t.why = wire.WhyBusy
			return
		}
		if o, ok := w.Job(jobID(x.task)); ok {
			cpus -= o.CPUs
			mem -= o.MemoryGB
		}
	}
	if cpus < -1e-6 || mem < -1e-6 {
		t.why = wire.WhyNoCapacity
		return
	}
	t.state, t.until = wire.TaskFetching, now+eventloop.Second
	w.OnTaskStart(t.task, "")
}
