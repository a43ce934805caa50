package explain

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/metric"
	"cleatpick/internal/predicate"
	"cleatpick/internal/wire"
)

// MaxOpenRequests bounds the explanations that one controller works on at a time.
const MaxOpenRequests = 100

// Timeouts of requests to other controllers.
const (
	ownerTimeout  = 1000 * eventloop.Millisecond
	leaderTimeout = 700 * eventloop.Millisecond
)

// Topics of requests between controllers.
const (
	topicWhy    = "why"
	topicSupply = "supply"
)

// Dependencies holds what this package needs from the controller in which it runs.
type Dependencies struct {
	Label string
	// Poll reads a job's status from the state service.
	Poll func(id string, cb func(job.Answer))
	Job  func(id string) *job.Job
	// Owner returns the controller that owns a team, Leader the one that leads; empty if
	// none is known.
	Owner  func(team string) string
	Leader func() string
	// Facts gathers why a job of a team owned here waits; false while the team's records are
	// not loaded.
	Facts func(id string) (*Facts, bool)
	// Supply describes the machines requested from the cloud; only the leader's is used.
	Supply func(*job.Spec) Supply
	Counts func(*job.Job) job.Counts
	Ask    func(to, topic string, body any, timeout eventloop.Micros, cb func(wire.Raw, bool))
	Handle func(topic string, f func(body wire.Raw, reply func(any)))
	Meter  *metric.Meter
}

// Service answers the question why a job's tasks do not run.
type Service struct {
	runner       eventloop.Runner
	deps         Dependencies
	openRequests int
	Timelines    *Timelines
	waits        *Waits
}

type whyRequest struct {
	Job string `cbor:"1,keyasint"`
}

type whyReply struct {
	Loaded        bool     `cbor:"1,keyasint"`
	Waiting       int      `cbor:"2,keyasint"`
	Running       int      `cbor:"3,keyasint"`
	Done          int      `cbor:"4,keyasint"`
	Reasons       []Reason `cbor:"5,keyasint"`
	Timeline      Timeline `cbor:"6,keyasint"`
	AheadComplete bool     `cbor:"7,keyasint"`
}

// NewService returns the service and registers the handlers of other controllers' requests.
func NewService(r eventloop.Runner, deps Dependencies) *Service {
	s := &Service{runner: r, deps: deps, Timelines: NewTimelines(), waits: NewWaits()}
	s.Timelines.OnIntervalEnd = s.recordWait
	deps.Handle(topicWhy, func(body wire.Raw, reply func(any)) {
		var q whyRequest
		if wire.Unmarshal(body, &q) != nil {
			reply(whyReply{})
			return
		}
		reply(s.explainOwned(q.Job))
	})
	deps.Handle(topicSupply, func(body wire.Raw, reply func(any)) {
		var s job.Spec
		if wire.Unmarshal(body, &s) != nil {
			reply(Supply{State: "unknown"})
			return
		}
		reply(deps.Supply(&s))
	})
	return s
}

func urgent(j *job.Job) bool { return j != nil && j.Spec != nil && j.Spec.Priority >= job.High }

// recordWait records a wait that has ended. Every controller records the waits of all owners, so
// that one that takes a team over can estimate at once; only the owner counts the wait in
// its metrics.
func (s *Service) recordWait(id string, k predicate.Kind, took eventloop.Micros, own bool) {
	if own {
		s.deps.Meter.WaitCause(k.String(), took)
	}
	s.waits.Add(k, urgent(s.deps.Job(id)), took)
}

// explainOwned explains a job whose team this controller owns.
func (s *Service) explainOwned(id string) whyReply {
	began := s.runner.Now()
	f, ok := s.deps.Facts(id)
	if !ok {
		return whyReply{Timeline: s.Timelines.Get(id)}
	}
	out := whyReply{Loaded: true, Waiting: f.JobFacts.Waiting, Running: f.Running, Done: f.Done, Reasons: Reasons(f), AheadComplete: f.AheadComplete}
	for i := range out.Reasons {
		r := &out.Reasons[i]
		k := predicate.KindByName(r.Kind)
		since := s.Timelines.Since(id, k)
		if since != 0 {
			t := Time(since)
			r.Since = &t
		}
		if r.Estimate == nil && since != 0 {
			r.Estimate = s.waits.Remaining(k, urgent(f.Job), f.Wall-since)
		}
	}
	out.Timeline = s.Timelines.Get(id)
	s.deps.Meter.Explanation(s.runner.Now() - began)
	return out
}

// Why explains a job. The callback gets 200 with the answer; 404 for an unknown job; 429
// when too many explanations are in progress; 503 when the job's status cannot be read.
func (s *Service) Why(id string, callback func(*Answer, int)) {
	if s.openRequests >= MaxOpenRequests {
		callback(nil, 429)
		return
	}
	s.openRequests++
	done := func(a *Answer, code int) {
		s.openRequests--
		callback(a, code)
	}
	s.deps.Poll(id, func(p job.Answer) {
		j := s.deps.Job(id)
		if p.Code != 200 || j == nil {
			code := p.Code
			if code == 200 {
				code = 503
			}
			done(nil, code)
			return
		}
		a := &Answer{Job: id, AsOf: Time(s.runner.Wall()), Tasks: j.Tasks, Reasons: []Reason{}, Complete: true, Timeline: []Interval{}}
		if j.Final() || j.Spec == nil {
			a.Status = PhaseName(j.Phase)
			a.setTimeline(s.Timelines.Get(id))
			if j.Phase == job.Done {
				a.Done = j.Tasks
			}
			done(a, 200)
			return
		}
		s.askOwner(a, j, func() { done(a, 200) })
	})
}

// askOwner adds what the job's owner knows to the answer.
func (s *Service) askOwner(a *Answer, j *job.Job, done func()) {
	a.Owner = s.deps.Owner(j.Spec.Team)
	// Without an answer from the owner, only the counts that it sent last are known.
	fillFromCounts := func(k predicate.Kind, state, release string) {
		c := s.deps.Counts(j)
		a.Done, a.Running = int(c.Done), int(c.Running)
		a.Waiting = max(a.Tasks-a.Done-a.Running, 0)
		a.Status = jobStatus(a)
		a.setTimeline(s.Timelines.Get(j.ID))
		if k != 0 {
			r := Reason{Kind: k.String(), Tasks: a.Waiting, State: state, Release: release, BlockedBy: []string{}}
			if since := s.Timelines.Since(j.ID, k); since != 0 {
				t := Time(since)
				r.Since = &t
			}
			a.Reasons = append(a.Reasons, r)
		}
		a.Complete = false
	}
	if a.Owner == "" {
		fillFromCounts(predicate.NoOwner, "unowned", "a controller takes the team over, usually within seconds")
		a.Missing = append(a.Missing, "the team has no owner at present")
		done()
		return
	}
	s.deps.Ask(a.Owner, topicWhy, whyRequest{j.ID}, ownerTimeout, func(body wire.Raw, ok bool) {
		var w whyReply
		if !ok || wire.Unmarshal(body, &w) != nil {
			fillFromCounts(0, "", "")
			a.Missing = append(a.Missing, "the owner "+a.Owner+" did not answer")
			done()
			return
		}
		if !w.Loaded {
			fillFromCounts(predicate.Loading, "reading", "the owner finishes loading the team's records")
			a.Missing = append(a.Missing, "the owner "+a.Owner+" has not loaded the team's records yet")
			done()
			return
		}
		a.Waiting, a.Running, a.Done = w.Waiting, w.Running, w.Done
		a.setTimeline(w.Timeline)
		a.Status = jobStatus(a)
		if !w.AheadComplete {
			a.Complete = false
			a.Missing = append(a.Missing, "which work takes the capacity before this job depends on which machines become free first")
		}
		if w.Reasons != nil {
			a.Reasons = w.Reasons
		}
		s.askLeader(a, j, done)
	})
}

// askLeader adds what is being rented to the reasons that are a lack of free capacity.
func (s *Service) askLeader(a *Answer, j *job.Job, done func()) {
	var short []*Reason
	for i := range a.Reasons {
		if k := predicate.KindByName(a.Reasons[i].Kind); k == predicate.Capacity || k == predicate.Gang {
			short = append(short, &a.Reasons[i])
		}
	}
	if len(short) == 0 {
		done()
		return
	}
	leader := s.deps.Leader()
	fill := func(supply Supply) {
		supply.Leader = leader
		for _, r := range short {
			r.Detail.Renting = &supply
			if r.Estimate == nil && supply.Estimate != nil {
				r.Estimate = supply.Estimate
			}
			if more := supplyRelease[supply.State]; more != "" {
				r.Release += "; " + more
			}
		}
		done()
	}
	if leader == "" {
		fill(Supply{State: "noLeader"})
		return
	}
	s.deps.Ask(leader, topicSupply, j.Spec, leaderTimeout, func(body wire.Raw, ok bool) {
		var s Supply
		if !ok || wire.Unmarshal(body, &s) != nil {
			a.Complete = false
			a.Missing = append(a.Missing, "the leader "+leader+" did not answer which machines are being rented")
			fill(Supply{State: "unknown"})
			return
		}
		fill(s)
	})
}

var supplyRelease = map[string]string{
	"booting":   "machines for it are booting",
	"ordered":   "machines for it are ordered",
	"requested": "the leader is about to order machines for it",
	"notAsked":  "running work is expected to end and free the capacity, so nothing is rented",
	"refused":   "the cloud has refused every offer that the job allows; the request is repeated",
	"nothing":   "the cloud offers no machine that the job allows",
	"noLeader":  "there is no leader at present, so nothing is rented",
}

func jobStatus(a *Answer) string {
	if a.Running > 0 {
		return wire.JobRunning
	}
	return wire.JobQueued
}
