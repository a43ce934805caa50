package standin

import (
	"slices"
	"strconv"

	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// Job is what a worker fetches of a job's description by itself.
type Job struct {
	CPUs, MemoryGB float64
	Run            loop.Micros
	Tasks          int
	Broken         bool // fails on every machine
	Every          int  // of a broken job, only each so manieth task fails; 0: all do
	FailsAfter     loop.Micros
	Later          loop.Micros // by which each task runs longer than the one before it
}

// takes is how long a task runs.
func (j *Job) takes(task string) loop.Micros {
	return j.Run + loop.Micros(number(task))*j.Later
}

// fails tells whether the task fails wherever it runs.
func (j *Job) fails(task string) bool {
	return j.Broken && (j.Every == 0 || number(task)%j.Every == 0)
}

type workerTask struct {
	task    string
	attempt uint64
	state   string
	why     string
	until   loop.Micros // when the present state ends
	fails   bool        // it ends in an error then
}

type attemptKey struct {
	task    string
	attempt uint64
}

// Worker is one machine.
type Worker struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	CPUs, MemoryGB         float64
	Faulty                 bool // fails every task
	Job                    func(id string) (Job, bool)
	// Began and Left tell a referee when a task is on the machine and when it is off.
	Began, Left func(task string, why string)
	// Revived tells a referee that a start came after the forget of its attempt: the worker, which
	// does not know the attempt any more, starts it anew. It may be nil.
	Revived func(task string, attempt uint64)

	// forgotten are the attempts that commands of this session removed; kept only where Revived is set.
	forgotten           map[attemptKey]struct{}
	session, seq, token uint64
	tasks               []*workerTask
	held                loop.Micros // when the last answered report was sent
	lease               loop.Micros
}

// NewWorker brings a machine up.
func NewWorker(now, lease loop.Micros) *Worker {
	return &Worker{session: 1, held: now, lease: lease}
}

func (w *Worker) end(t *workerTask, why string) {
	if t.state == wire.TaskExited {
		return
	}
	t.state, t.why = wire.TaskExited, why
	w.Left(t.task, why)
}

// LeaseOver tells whether the worker ends all its tasks as soon as it does anything.
func (w *Worker) LeaseOver(now loop.Micros) bool { return now-w.held > w.lease }

// Tick lets time pass on the machine.
func (w *Worker) Tick(now loop.Micros) {
	if w.LeaseOver(now) {
		for _, t := range w.tasks {
			w.end(t, "lease")
		}
		w.tasks, w.held = nil, now
		w.session++
		w.seq = 0
		w.forgotten = nil
	}
	for _, t := range w.tasks {
		if t.state == wire.TaskExited || now < t.until {
			continue
		}
		if t.state == wire.TaskFetching {
			j, _ := w.Job(jobOf(t.task))
			t.state, t.until = wire.TaskRunning, now+j.takes(t.task)
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
			w.end(t, wire.WhyError)
			continue
		}
		w.end(t, wire.WhyDone)
	}
}

// number is which of its job's tasks a task is.
func number(task string) int {
	no, _ := strconv.Atoi(task[len(jobOf(task))+1:])
	return no
}

func jobOf(task string) string {
	for i := len(task) - 1; i >= 0; i-- {
		if task[i] == '/' {
			return task[:i]
		}
	}
	return task
}

// Destroy ends the machine with everything on it.
func (w *Worker) Destroy() {
	for _, t := range w.tasks {
		w.end(t, "gone")
	}
	w.tasks = nil
}

// Restart ends everything on the machine and begins anew, in a next session that has seen no
// token.
func (w *Worker) Restart(now loop.Micros) {
	w.Destroy()
	w.session++
	w.seq, w.token, w.held = 0, 0, now
	w.forgotten = nil
}

// Session is the worker's present session.
func (w *Worker) Session() uint64 { return w.session }

// Token is the highest token that the worker has seen.
func (w *Worker) Token() uint64 { return w.token }

// Answer is when the newest answered report was sent.
func (w *Worker) Answer() loop.Micros { return w.held }

// Report describes the machine now.
func (w *Worker) Report() wire.Report {
	w.seq++
	r := wire.Report{Machine: w.Name, Addr: w.Addr, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Session: w.session, Seq: w.seq, Token: w.token, Tasks: []wire.ReportTask{}}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, wire.ReportTask{Task: t.task, Attempt: t.attempt, State: t.state, Why: t.why})
	}
	return r
}

// Answered takes in the 200 to a report that was sent at a time, in a session.
func (w *Worker) Answered(now, sent loop.Micros, session uint64, c wire.Commands) {
	if session != w.session || c.Token < w.token || now-sent > 4*loop.Second {
		return
	}
	w.token, w.held = c.Token, sent
	w.run(now, c.Commands)
}

// Command takes in a direct command and answers with its status and the report.
func (w *Worker) Command(now loop.Micros, c wire.Commands) (int, wire.Report) {
	if c.Token < w.token || c.Session != w.session {
		return 409, w.Report()
	}
	w.token = c.Token
	w.run(now, c.Commands)
	return 200, w.Report()
}

func (w *Worker) find(task string, attempt uint64) *workerTask {
	for _, t := range w.tasks {
		if t.task == task && t.attempt == attempt {
			return t
		}
	}
	return nil
}

func (w *Worker) run(now loop.Micros, cs []wire.Command) {
	for _, c := range cs {
		t := w.find(c.Task, c.Attempt)
		switch c.Op {
		case wire.OpStart:
			if t == nil {
				w.start(now, c)
			}
		case wire.OpStop:
			if t != nil {
				w.end(t, wire.WhyStopped)
			}
		case wire.OpForget:
			if t != nil && t.state == wire.TaskExited {
				w.forget(t)
			}
		}
	}
}

// forget removes an exited task from the reports.
func (w *Worker) forget(t *workerTask) {
	w.tasks = slices.DeleteFunc(w.tasks, func(x *workerTask) bool { return x == t })
	if w.Revived == nil {
		return
	}
	if w.forgotten == nil {
		w.forgotten = map[attemptKey]struct{}{}
	}
	w.forgotten[attemptKey{t.task, t.attempt}] = struct{}{}
}

func (w *Worker) start(now loop.Micros, c wire.Command) {
	if _, was := w.forgotten[attemptKey{c.Task, c.Attempt}]; was {
		w.Revived(c.Task, c.Attempt)
	}
	t := &workerTask{task: c.Task, attempt: c.Attempt, state: wire.TaskExited}
	w.tasks = append(w.tasks, t)
	j, ok := w.Job(jobOf(c.Task))
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
		if o, ok := w.Job(jobOf(x.task)); ok {
			cpus -= o.CPUs
			mem -= o.MemoryGB
		}
	}
	if cpus < -1e-6 || mem < -1e-6 {
		t.why = wire.WhyNoCapacity
		return
	}
	t.state, t.until = wire.TaskFetching, now+loop.Second
	w.Began(t.task, "")
}
