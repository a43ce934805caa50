package failuredetector

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/testseed"

	"pgregory.net/rapid"
)

// The result must be the same in every run, so the seed of the random inputs is fixed.
func TestMain(m *testing.M) { testseed.Main(m) }

// condition is the real condition of a simulated machine.
type condition int

const (
	well condition = iota
	hangs
	stopped
	unresponsive // it reports to one controller after another, and no answer or command reaches it
)

type simMachine struct {
	name, zone                string
	condition                 condition
	since, back               eventloop.Micros // when the condition began, and when it ends; 0: never
	lastConfirmed, lastReport eventloop.Micros
	wellAt                    eventloop.Micros // when the condition ended
	failedAt                  eventloop.Micros
	why                       string
	inPartition               bool             // its zone was disconnected when it was declared failed
	noReportsUntil            eventloop.Micros // until when its reports reach no controller
}

type answer struct {
	at   eventloop.Micros
	done func(ProbeResult)
	w    ProbeResult
}

// simulation is a simulated set of machines whose real condition is known, observed by a failure
// detector under hand-driven time.
type simulation struct {
	now               eventloop.Micros
	rules             Rules
	detector          *Detector
	all               []*simMachine
	byName            map[string]*simMachine
	answers           []answer
	isolated          bool
	disconnectedUntil map[string]eventloop.Micros // zones that are disconnected, and until when
	selfDisconnected  bool                        // this controller reaches no machine, but gets their reports through its peers
	most              int
	probes            int
}

const step = 200 * eventloop.Millisecond

func newSimulation(zones, each int) *simulation {
	y := &simulation{now: 1000 * eventloop.Second, byName: map[string]*simMachine{}, disconnectedUntil: map[string]eventloop.Micros{},
		rules: Rules{ReportInterval: 3 * eventloop.Second, Lease: 18 * eventloop.Second, UnreachableGrace: 8 * eventloop.Second, MaxProbes: 16}}
	for z := range zones {
		for i := range each {
			r := &simMachine{name: fmt.Sprintf("n-%d%04d", z, i), zone: fmt.Sprint("z", z), lastConfirmed: y.now}
			y.all = append(y.all, r)
			y.byName[r.name] = r
		}
	}
	y.detector = New(y.rules, slog.New(slog.NewTextHandler(io.Discard, nil)), nil, func(addr string, done func(ProbeResult)) {
		y.probes++
		a := answer{y.now + 5*eventloop.Millisecond, done, Answered}
		switch r := y.byName[addr]; {
		case y.selfDisconnected || r.condition == stopped || r.condition == unresponsive || y.now < y.disconnectedUntil[r.zone]:
			a.w, a.at = NoConnection, y.now+eventloop.Second
		case r.condition == hangs:
			a.w, a.at = NoAnswer, y.now+eventloop.Second
		}
		y.answers = append(y.answers, a)
		y.most = max(y.most, len(y.answers))
	})
	return y
}

// setCondition puts machines that are well into a condition until back.
func (y *simulation) setCondition(is condition, back eventloop.Micros, names ...*simMachine) {
	for _, r := range names {
		if r.condition == well {
			r.condition, r.since, r.back = is, y.now, back
		}
	}
}

func (y *simulation) run(d eventloop.Micros) {
	for end := y.now + d; y.now < end; y.now += step {
		kept := y.answers[:0:0]
		due := y.answers
		y.answers = nil
		for _, a := range due {
			if a.at <= y.now {
				a.done(a.w)
			} else {
				kept = append(kept, a)
			}
		}
		y.answers = append(kept, y.answers...)
		for i, r := range y.all {
			if r.back != 0 && y.now >= r.back && r.failedAt == 0 {
				r.condition, r.back, r.wellAt = well, 0, y.now
			}
			if r.condition == well && r.failedAt == 0 && y.now >= y.disconnectedUntil[r.zone] && y.now >= r.noReportsUntil && (y.now/step+eventloop.Micros(i))%(y.rules.ReportInterval/step) == 0 {
				r.lastConfirmed, r.lastReport = y.now, y.now
			}
			// The first report that gets no answer still shows its host controller's token. The
			// next ones come 4 s and 1 s later, each at another controller.
			if r.condition == unresponsive && r.failedAt == 0 && y.now >= y.disconnectedUntil[r.zone] {
				switch regular := (y.now/step+eventloop.Micros(i))%(y.rules.ReportInterval/step) == 0; {
				case r.lastConfirmed <= r.since && regular:
					r.lastConfirmed, r.lastReport = y.now, y.now
				case r.lastConfirmed > r.since && (y.now-r.lastConfirmed)%(5*eventloop.Second) < step:
					r.lastReport = y.now
				}
			}
		}
		for _, v := range y.detector.Evaluate(ClusterFacts{Now: y.now, Isolated: y.isolated}, func(yield func(*Facts)) {
			for _, r := range y.all {
				if r.failedAt == 0 {
					yield(&Facts{Name: r.name, Zone: r.zone, Addr: r.name, LastConfirmed: r.lastConfirmed, LastReport: r.lastReport})
				}
			}
		}) {
			r := y.byName[v.Name]
			r.failedAt, r.why, r.inPartition = y.now, v.Why, y.now < y.disconnectedUntil[r.zone]+y.rules.ReportInterval
			y.detector.Forget(v.Name)
		}
	}
}

func (y *simulation) countFailed() (n int) {
	for _, r := range y.all {
		if r.failedAt != 0 {
			n++
		}
	}
	return n
}

// When a hundred machines stop at the same time, they must be declared dead well before their
// lease ends, as machines that stopped and not as hung ones, with a bounded number of probes.
func TestManyMachinesStop(t *testing.T) {
	y := newSimulation(2, 200)
	y.run(10 * eventloop.Second)
	y.setCondition(stopped, 0, y.all[:100]...)
	y.run(y.rules.lateAfter() + 12*eventloop.Second)
	if y.countFailed() != 100 {
		t.Fatalf("%d of 100 stopped machines are declared failed after %d us", y.countFailed(), y.rules.lateAfter()+12*eventloop.Second)
	}
	for _, r := range y.all[:100] {
		if took := r.failedAt - r.since; r.why != "dead" || took >= y.rules.Lease {
			t.Fatalf("stopped machine %s is declared failed as %q after %d us, want \"dead\" within its lease", r.name, r.why, took)
		}
	}
	if y.most > y.rules.MaxProbes+2 || y.probes > 350 {
		t.Fatalf("%d probes were sent, %d in flight at once; want at most 350 and MaxProbes+2", y.probes, y.most)
	}
	if y.detector.correlated.state != Calm || y.detector.correlated.declaredFailed != 100 {
		t.Fatalf("the correlated failure is %v with %d machines declared failed, want calm with 100", y.detector.correlated.state, y.detector.correlated.declaredFailed)
	}
}

// Half of a zone hangs and comes back within its lease: no machine may be declared failed, and
// until then all must be listed as likely to come back, so that nothing is rented for them.
// Machines that hang for good must be declared failed soon after their lease.
func TestHungMachinesComeBack(t *testing.T) {
	y := newSimulation(2, 100)
	y.run(10 * eventloop.Second)
	y.setCondition(hangs, y.now+y.rules.Lease-4*eventloop.Second, y.all[:50]...)
	y.run(y.rules.Lease - 5*eventloop.Second)
	n := 0
	y.detector.EachSuspected(y.now, func(string) { n++ })
	if n != 50 {
		t.Fatalf("%d of 50 hung machines are listed as likely to come back, want all", n)
	}
	y.run(60 * eventloop.Second)
	if y.countFailed() != 0 {
		t.Fatalf("%d machines are declared failed that hung for less than their lease", y.countFailed())
	}
	y.setCondition(hangs, 0, y.all[:50]...)
	y.run(y.rules.Lease + 4*eventloop.Second)
	if y.countFailed() != 50 {
		t.Fatalf("%d of 50 machines that hang for good are declared failed, want all", y.countFailed())
	}
}

// Machines that this controller cannot reach may be disconnected from it alone, though the
// reports of their neighbours arrive through peers. If the neighbours do not answer probes
// either, no machine may be declared dead.
func TestDisconnectedControllerDeclaresNoneDead(t *testing.T) {
	y := newSimulation(1, 60)
	y.run(10 * eventloop.Second)
	y.selfDisconnected = true
	y.setCondition(hangs, y.now+24*eventloop.Second, y.all[:20]...)
	y.run(40 * eventloop.Second)
	if y.countFailed() != 0 {
		t.Fatalf("%d machines are declared failed by a controller that reaches none", y.countFailed())
	}
}

// The detector is checked against the real condition of simulated machines: any number of
// them, in several zones, stop, hang, become unresponsive or are disconnected, alone and
// together, and some come back. Each that does not come back must be declared failed, and none
// before the time that its condition allows.
func TestDetectorAgainstSimulation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, each := rapid.IntRange(1, 6).Draw(t, "zones"), rapid.IntRange(1, 40).Draw(t, "each")
		y := newSimulation(zones, each)
		y.run(5 * eventloop.Second)
		for range rapid.IntRange(1, 5).Draw(t, "falls") {
			var back eventloop.Micros
			if rapid.Bool().Draw(t, "comes back") {
				back = y.now + eventloop.Micros(rapid.IntRange(1, 40).Draw(t, "seconds"))*eventloop.Second
			}
			if is := condition(rapid.IntRange(0, 3).Draw(t, "is")); is == well {
				y.disconnectedUntil[fmt.Sprint("z", rapid.IntRange(0, zones-1).Draw(t, "zone"))] = y.now + eventloop.Micros(rapid.IntRange(1, 60).Draw(t, "cut"))*eventloop.Second
			} else {
				if is == stopped {
					back = 0
				}
				for _, r := range y.all {
					if rapid.IntRange(0, 3).Draw(t, "which") == 0 {
						y.setCondition(is, back, r)
					}
				}
			}
			y.run(eventloop.Micros(rapid.IntRange(1, 30).Draw(t, "later")) * eventloop.Second)
		}
		y.run(60 * eventloop.Second)
		clear(y.disconnectedUntil)
		y.run(60 * eventloop.Second)
		for _, r := range y.all {
			silence := r.failedAt - r.lastConfirmed
			switch {
			case r.failedAt == 0 && r.condition != well && r.back == 0:
				t.Fatalf("%s is in condition %v for good and was never declared failed", r.name, r.condition)
			case r.failedAt == 0:
			case r.condition == well && silence > y.rules.Lease && r.failedAt-r.wellAt <= 2*eventloop.Second:
				// It resumed after its lease had ended, just after its last probe.
			case r.condition == well && r.inPartition && silence > y.rules.Lease+y.rules.UnreachableGrace:
			case r.condition == well:
				t.Fatalf("%s is well and was declared failed as %q: silent for %d us, well for %d us", r.name, r.why, silence, r.failedAt-r.wellAt)
			case r.condition == unresponsive && silence <= y.rules.Lease:
				t.Fatalf("%s is unresponsive and was declared failed as %q after %d us, within its lease", r.name, r.why, silence)
			case r.why == "hears nobody" && r.condition != unresponsive:
				t.Fatalf("%s was declared unresponsive and is in condition %v", r.name, r.condition)
			case r.condition == hangs && silence <= y.rules.Lease:
				t.Fatalf("%s hangs and was declared failed as %q after %d us, within its lease", r.name, r.why, silence)
			case r.why == "dead" && r.condition != stopped:
				t.Fatalf("%s was declared dead and is in condition %v", r.name, r.condition)
			}
		}
		if y.most > y.rules.MaxProbes+zones {
			t.Fatalf("%d probes were in flight at once, want at most MaxProbes and one for each zone", y.most)
		}
	})
}

// Machines that answer probes while their reports reach no controller must not alternate between
// suspected and available: the correlated failure must start at most once and end when each
// has answered. None whose reports arrive again in time may be declared failed, and the
// others must be at the time that maxStray states.
func TestReportsThatReachNobody(t *testing.T) {
	y := newSimulation(2, 40)
	y.run(10 * eventloop.Second)
	began := y.now
	for _, r := range y.all[:20] {
		r.noReportsUntil = began + y.rules.maxStray() - 2*y.rules.ReportInterval - eventloop.Second
	}
	for _, r := range y.all[20:30] {
		r.noReportsUntil = began + 500*eventloop.Second
	}
	for _, r := range y.all[30:35] { // their host controller still answers them; they hang for less than a lease
		r.noReportsUntil = began + 22*eventloop.Second
	}
	begun, was := 0, Calm
	for k := range 300 {
		y.run(step)
		if k == 40 {
			y.setCondition(hangs, began+22*eventloop.Second, y.all[30:35]...)
		}
		if s := y.detector.correlated.state; s != was {
			if was = s; s == Unresolved {
				begun++
			}
		}
	}
	if begun > 1 || was != Calm {
		t.Errorf("the correlated failure began %d times and is %v, want at most once and calm", begun, was)
	}
	for i, r := range y.all {
		switch took := r.failedAt - r.lastConfirmed; {
		case i >= 20 && i < 30:
			if r.failedAt == 0 || took > y.rules.maxStray()+eventloop.Second || r.why != "its reports reach nobody" {
				t.Errorf("%s is declared failed as %q after %d us, want \"its reports reach nobody\" in time", r.name, r.why, took)
			}
		case r.failedAt != 0:
			t.Errorf("%s is declared failed as %q after %d us, want not at all", r.name, r.why, took)
		}
	}
	if most := 30 * int(y.rules.maxStray()/y.rules.ReportInterval+3); y.probes > most {
		t.Errorf("%d probes of 30 machines were sent, more often than they would report", y.probes)
	}
}

// Machines that report while no answer or command reaches them must not be declared dead
// because connections to them fail, but must be declared failed after the time that maxStray
// states, even if a whole zone of them looks like a network partition. Those that recover
// earlier must not be declared failed, and until then all count as likely to come back.
func TestUnresponsiveMachines(t *testing.T) {
	for _, report := range []eventloop.Micros{eventloop.Second, 3 * eventloop.Second, 5 * eventloop.Second} {
		y := newSimulation(2, 40)
		y.rules.ReportInterval = report
		y.detector.rules.ReportInterval = report
		y.run(10 * eventloop.Second)
		y.setCondition(unresponsive, y.now+2*eventloop.Second, y.all[:10]...)
		y.setCondition(unresponsive, y.now+y.rules.maxStray()-2*report-eventloop.Second, y.all[10:20]...)
		y.setCondition(unresponsive, 0, y.all[40:]...)
		y.run(15 * eventloop.Second)
		n := 0
		y.detector.EachSuspected(y.now, func(string) { n++ })
		if n != 50 {
			t.Errorf("reports every %d us: %d of 50 unresponsive machines are listed as likely to come back, want all", report, n)
		}
		y.run(40 * eventloop.Second)
		for i, r := range y.all {
			took := r.failedAt - r.lastConfirmed
			if i < 40 && r.failedAt != 0 {
				t.Errorf("reports every %d us: %s is declared failed as %q after %d us, want not at all", report, r.name, r.why, took)
			}
			if i >= 40 && (r.why != "hears nobody" || took < y.rules.maxStray() || took > y.rules.maxStray()+eventloop.Second) {
				t.Errorf("reports every %d us: %s is declared failed as %q after %d us, want \"hears nobody\" in time", report, r.name, r.why, took)
			}
		}
	}
}

// Connections to an unresponsive machine fail like those to a stopped one. When a network
// partition has just ended and the machine's next report has not arrived yet, it must not be
// declared dead.
func TestUnresponsiveMachineAfterPartition(t *testing.T) {
	y := newSimulation(2, 40)
	y.run(10 * eventloop.Second)
	y.setCondition(unresponsive, 0, y.all[:10]...)
	y.run(12 * eventloop.Second)
	y.disconnectedUntil["z0"] = y.now + 7500*eventloop.Millisecond
	y.run(60 * eventloop.Second)
	for _, r := range y.all[:10] {
		if took := r.failedAt - r.lastConfirmed; r.failedAt == 0 || took < y.rules.maxStray() {
			t.Errorf("%s is declared failed as %q after %d us, want not before the time that maxStray states", r.name, r.why, took)
		}
	}
}

// To a controller that reaches no peer all machines look silent: it must declare none failed
// and probe none.
func TestIsolatedControllerDeclaresNoneFailed(t *testing.T) {
	y := newSimulation(1, 10)
	y.run(5 * eventloop.Second)
	y.isolated = true
	y.setCondition(stopped, 0, y.all...)
	y.run(90 * eventloop.Second)
	if y.countFailed() != 0 || y.probes != 0 {
		t.Fatalf("%d machines declared failed and %d probes sent by a controller that reaches no peer, want none", y.countFailed(), y.probes)
	}
}
