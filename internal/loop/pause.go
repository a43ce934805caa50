package loop

const (
	// pauseThreshold is the shortest time between two functions on the loop that counts as a pause of the process.
	// idleInterval is the interval of an empty periodic function, so that an idle loop does not look like a pause.
	pauseThreshold = Second
	idleInterval   = Second / 4
)

// Pause is a pause of the process: a time in which it did not run although its clocks went on.
type Pause struct{ From, To Micros }

// PauseDetector detects pauses of the process: two functions on the loop run far apart. Its handlers run before the
// second one. They can thus correct measurements that the pause distorted, and answer what must not be late, before the
// loop runs what was queued during the pause.
//
// It must be used on the loop only.
type PauseDetector struct {
	last     Micros
	handlers []func(Pause)
}

// OnPause registers a handler of pauses.
func (d *PauseDetector) OnPause(f func(Pause)) { d.handlers = append(d.handlers, f) }

// Observe must be called before each function that runs on the loop.
func (d *PauseDetector) Observe(now Micros) {
	last := d.last
	d.last = now
	if last == 0 || now-last < pauseThreshold {
		return
	}
	for _, f := range d.handlers {
		f(Pause{From: last, To: now})
	}
}

// Pauses returns the detector of pauses of the runner's process. If the runner has none, it returns a detector that
// never reports a pause.
func Pauses(r Runner) *PauseDetector {
	if own, ok := r.(interface{ Pauses() *PauseDetector }); ok {
		return own.Pauses()
	}
	return &PauseDetector{}
}
