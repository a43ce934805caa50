package explain

import (
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/metric"
	"cleatpick/internal/wire"
)

// MostQuestions bounds the explanations that one node works on at a time.
const MostQuestions = 100

// How long another node is waited for.
const (
	ownerPatience  = 1000 * loop.Millisecond
	leaderPatience = 700 * loop.Millisecond
)

// The topics of questions between nodes.
const (
	topicWhy    = "why"
	topicSupply = "supply"
)

// Node is what this slice needs of the node around it.
type Node struct {
	Label string
	// Poll confirms a job's standing with the state service.
	Poll func(id string, cb func(job.Answer))
	Job  func(id string) *job.Job
	// Owner and Leader tell who owns a team and who leads; empty: nobody is known to.
	Owner  func(team string) string
	Leader func() string
	// Facts gathers why a job of a team owned here waits; false while that is not loaded.
	Facts func(id string) (*Facts, bool)
	// Supply is the leader's account; asked of the node that leads.
	Supply func(*job.Spec) Supply
	Counts func(*job.Job) job.Counts
	Ask    func(to, topic string, body any, timeout loop.Micros, cb func(wire.Raw, bool))
	Handle func(topic string, f func(body wire.Raw, reply func(any)))
	Meter  *metric.Meter
}

// Desk answers why jobs wait.
type Desk struct {
	r     loop.Runner
	n     Node
	open  int
	Lines *Timelines
	waits *Waits
}

type whyQuestion struct {
	Job string `cbor:"1,keyasint"`
}

type whyReply struct {
	Loaded   bool     `cbor:"1,keyasint"`
	Waiting  int      `cbor:"2,keyasint"`
	Running  int      `cbor:"3,keyasint"`
	Done     int      `cbor:"4,keyasint"`
	Reasons  []Reason `cbor:"5,keyasint"`
	Timeline Timeline `cbor:"6,keyasint"`
	Sure     bool     `cbor:"7,keyasint"`
}

// NewDesk makes the desk and answers what other nodes ask.
func NewDesk(r loop.Runner, n Node) *Desk {
	d := &Desk{r: r, n: n, Lines: NewTimelines(), waits: NewWaits()}
	d.Lines.Ended = d.ended
	n.Handle(topicWhy, func(body wire.Raw, reply func(any)) {
		var q whyQuestion
		if wire.Unmarshal(body, &q) != nil {
			reply(whyReply{})
			return
		}
		reply(d.own(q.Job))
	})
	n.Handle(topicSupply, func(body wire.Raw, reply func(any)) {
		var s job.Spec
		if wire.Unmarshal(body, &s) != nil {
			reply(Supply{State: "unknown"})
			return
		}
		reply(n.Supply(&s))
	})
	return d
}

func urgent(j *job.Job) bool { return j != nil && j.Spec != nil && j.Spec.Priority >= job.High }

// ended takes in a wait that is over. Every node learns from all owners' waits, so that
// one that takes a team over can estimate at once; only the owner counts it.
func (d *Desk) ended(id string, k gate.Kind, took loop.Micros, own bool) {
	if own {
		d.n.Meter.Wait(k.String(), took)
	}
	d.waits.Add(k, urgent(d.n.Job(id)), took)
}

// own explains a job whose team this node owns.
func (d *Desk) own(id string) whyReply {
	began := d.r.Now()
	f, ok := d.n.Facts(id)
	if !ok {
		return whyReply{Timeline: d.Lines.Of(id)}
	}
	out := whyReply{Loaded: true, Waiting: f.Gate.Waiting, Running: f.Running, Done: f.Done, Reasons: Judge(f), Sure: f.Sure}
	for i := range out.Reasons {
		r := &out.Reasons[i]
		k := gate.KindByName(r.Kind)
		since := d.Lines.Since(id, k)
		if since != 0 {
			t := Time(since)
			r.Since = &t
		}
		if r.Estimate == nil && since != 0 {
			r.Estimate = d.waits.Left(k, urgent(f.Job), f.Wall-since)
		}
	}
	out.Timeline = d.Lines.Of(id)
	d.n.Meter.Why(d.r.Now() - began)
	return out
}

// Why explains a job; cb gets 200 with the answer, 404, 429 or 503.
func (d *Desk) Why(id string, cb func(*Answer, int)) {
	if d.open >= MostQuestions {
		cb(nil, 429)
		return
	}
	d.open++
	done := func(a *Answer, code int) {
		d.open--
		cb(a, code)
	}
	d.n.Poll(id, func(p job.Answer) {
		j := d.n.Job(id)
		if p.Code != 200 || j == nil {
			code := p.Code
			if code == 200 {
				code = 503
			}
			done(nil, code)
			return
		}
		a := &Answer{Job: id, AsOf: Time(d.r.Wall()), Tasks: j.Tasks, Reasons: []Reason{}, Complete: true, Timeline: []Stretch{}}
		if j.Final() || j.Spec == nil {
			a.Standing = PhaseName(j.Phase)
			a.tells(d.Lines.Of(id))
			if j.Phase == job.Done {
				a.Done = j.Tasks
			}
			done(a, 200)
			return
		}
		d.askOwner(a, j, func() { done(a, 200) })
	})
}

// askOwner fills in what the job's owner knows.
func (d *Desk) askOwner(a *Answer, j *job.Job, done func()) {
	a.Owner = d.n.Owner(j.Spec.Team)
	// Without an owner's word only the counts that were last told are known.
	told := func(k gate.Kind, state, release string) {
		c := d.n.Counts(j)
		a.Done, a.Running = int(c.Done), int(c.Running)
		a.Waiting = max(a.Tasks-a.Done-a.Running, 0)
		a.Standing = standing(a)
		a.tells(d.Lines.Of(j.ID))
		if k != 0 {
			r := Reason{Kind: k.String(), Tasks: a.Waiting, State: state, Release: release, BlockedBy: []string{}}
			if since := d.Lines.Since(j.ID, k); since != 0 {
				t := Time(since)
				r.Since = &t
			}
			a.Reasons = append(a.Reasons, r)
		}
		a.Complete = false
	}
	if a.Owner == "" {
		told(gate.NoOwner, "unowned", "a controller takes the team over, usually within seconds")
		a.Missing = append(a.Missing, "the team has no owner that could be asked")
		done()
		return
	}
	d.n.Ask(a.Owner, topicWhy, whyQuestion{j.ID}, ownerPatience, func(body wire.Raw, ok bool) {
		var w whyReply
		if !ok || wire.Unmarshal(body, &w) != nil {
			told(0, "", "")
			a.Missing = append(a.Missing, "the owner "+a.Owner+" did not answer")
			done()
			return
		}
		if !w.Loaded {
			told(gate.Loading, "reading", "the owner has read the team's records")
			a.Missing = append(a.Missing, "the owner "+a.Owner+" has not read the team's records yet")
			done()
			return
		}
		a.Waiting, a.Running, a.Done = w.Waiting, w.Running, w.Done
		a.tells(w.Timeline)
		a.Standing = standing(a)
		if !w.Sure {
			a.Complete = false
			a.Missing = append(a.Missing, "which work takes the room before this job depends on what falls free where")
		}
		if w.Reasons != nil {
			a.Reasons = w.Reasons
		}
		d.askLeader(a, j, done)
	})
}

// askLeader fills in what is rented, where room is missing.
func (d *Desk) askLeader(a *Answer, j *job.Job, done func()) {
	var short []*Reason
	for i := range a.Reasons {
		if k := gate.KindByName(a.Reasons[i].Kind); k == gate.Capacity || k == gate.Gang {
			short = append(short, &a.Reasons[i])
		}
	}
	if len(short) == 0 {
		done()
		return
	}
	leader := d.n.Leader()
	fill := func(s Supply) {
		s.Leader = leader
		for _, r := range short {
			r.Detail.Renting = &s
			if r.Estimate == nil && s.Estimate != nil {
				r.Estimate = s.Estimate
			}
			if more := supplyEnds[s.State]; more != "" {
				r.Release += "; " + more
			}
		}
		done()
	}
	if leader == "" {
		fill(Supply{State: "noLeader"})
		return
	}
	d.n.Ask(leader, topicSupply, j.Spec, leaderPatience, func(body wire.Raw, ok bool) {
		var s Supply
		if !ok || wire.Unmarshal(body, &s) != nil {
			a.Complete = false
			a.Missing = append(a.Missing, "the leader "+leader+" did not answer what is rented")
			fill(Supply{State: "unknown"})
			return
		}
		fill(s)
	})
}

var supplyEnds = map[string]string{
	"booting":   "machines for it are booting",
	"ordered":   "machines for it are ordered",
	"requested": "the leader is about to rent for it",
	"notAsked":  "work that ends is expected to free the room, so nothing is rented",
	"refused":   "the cloud has refused every offer that the job allows, and is asked again",
	"nothing":   "the cloud offers no machine that the job allows",
	"noLeader":  "nobody leads just now, so nothing is rented",
}

func standing(a *Answer) string {
	if a.Running > 0 {
		return wire.JobRunning
	}
	return wire.JobQueued
}
