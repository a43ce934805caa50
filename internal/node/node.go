// Package node wires the slices of one controller together.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"cleatpick/internal/admission"
	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/cordon"
	"cleatpick/internal/delivery"
	"cleatpick/internal/front"
	"cleatpick/internal/horizon"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/loss"
	"cleatpick/internal/member"
	"cleatpick/internal/metric"
	"cleatpick/internal/peer"
	"cleatpick/internal/placer"
	"cleatpick/internal/reach"
	"cleatpick/internal/rental"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// Node is one controller.
type Node struct {
	cfg      *config.Config
	log      *slog.Logger
	loop     loop.Runner
	client   *store.Client
	mirror   *store.Mirror
	member   *member.Member
	jobs     *job.Registry
	cordons  *cordon.Book
	agent    *agent.Registry
	placer   *placer.Placer
	rental   *rental.Rental
	net      *peer.Net
	reach    *reach.Judge
	horizon  *horizon.Tracker
	front    *front.Front
	out      Outside
	progress map[string]job.Counts
	meter    *metric.Meter // nil while /v1/ is off
	more     *explaining   // nil while /v1/ is off
	began    loop.Micros
	isolated loop.Micros // since when no peer is heard; 0: one is
}

// Outside is what a node reaches beyond itself; tests put stand-ins here.
type Outside struct {
	Loop    loop.Runner
	State   store.Doer
	Watch   store.Doer
	Cloud   store.Doer
	Workers func(addr, method, path string, body []byte, timeout time.Duration) store.Response
	// Probe asks a silent worker whether it is there; it blocks.
	Probe func(addr string) loss.Word
}

// New wires a node to the real outside; Run works it.
func New(cfg *config.Config, log *slog.Logger) *Node {
	socks := &sockets{most: cfg.Cluster.Limits.MaxSockets}
	workers := &fasthttp.Client{
		MaxConnsPerHost:               2,
		MaxIdleConnDuration:           20 * time.Second,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		MaxIdemponentCallAttempts:     1,
		MaxResponseBodySize:           256 << 10,
		ReadBufferSize:                4096,
		WriteBufferSize:               4096,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                          socks.dial,
		DisableHeaderNamesNormalizing: true,
	}
	n := Wire(cfg, log, Outside{
		Loop:  loop.New(),
		State: store.NewDoer(cfg.Outside.State, 32),
		Watch: store.NewDoer(cfg.Outside.State, 4),
		Cloud: store.NewDoer(cfg.Outside.Cloud, 4),
		Workers: func(addr, method, path string, body []byte, timeout time.Duration) store.Response {
			return store.Exchange(workers, addr, method, path, body, timeout)
		},
		Probe: probe,
	})
	socks.served = n.front.Open
	n.front.Crowded = func() bool { return socks.above(closeBeat) }
	socks.watch(n.loop, workers.CloseIdleConnections)
	return n
}

// Wire wires a node to a given outside.
func Wire(cfg *config.Config, log *slog.Logger, out Outside) *Node {
	n := &Node{cfg: cfg, log: log, loop: out.Loop, out: out, progress: map[string]job.Counts{}}
	l := n.loop
	n.began = l.Now()
	if cfg.Operator.API.Enabled {
		n.meter = metric.New()
	}
	nodes := max(cfg.Cluster.Nodes, 1)
	n.client = store.NewClient(l, out.State, log, cfg.Cluster.State.RPS, cfg.Cluster.State.WriteRPS, nodes)
	n.client.SetMaxChanges(cfg.Cluster.State.TxnOps)
	n.client.Meter = n.meter
	n.mirror = store.NewMirror(n.client, out.Watch, member.Prefix)
	n.member = member.New(l, n.client, n.mirror, log, member.Settings{Label: cfg.Label, Teams: cfg.TeamNames(), Controllers: nodes,
		LeaseTTL: loop.Seconds(cfg.Operator.NodeLeaseS), TeamsOnly: !cfg.Operator.NumberedPartitions})
	n.jobs = job.NewRegistry(l, n.client, n.mirror, log)
	n.jobs.ConfigureAdmission(func(team string) float64 {
		t, _ := cfg.TeamNamed(team)
		return cfg.Quota(t).Weight
	}, cfg.Cluster.State.WriteRPS*0.45/float64(nodes))
	n.jobs.SetMaxWaitingReads(cfg.Cluster.Limits.MaxSockets / 5)
	n.cordons = cordon.NewBook(l, n.client, n.mirror, log, cfg.ClockDifference())
	n.net = peer.New(l, log, cfg.Label, cfg.Known)
	n.reach = reach.New(l, log, cfg.Label, n.net.Peers(), cfg.ClockDifference())
	n.reach.Contact = n.contact
	n.reach.Changed = func(_ string, to reach.State, damped bool) { n.meter.Peer(to.String(), damped) }
	n.net.Life, n.net.ClockTo = l.Wall(), cfg.ClockDifference()
	n.net.Earlier = func(string) { n.meter.EarlierFrame() }
	n.overlook()
	n.watchStalls()
	n.agent = agent.New(l, log, agent.Config{
		Label:       cfg.Label,
		Incarnation: n.net.Life,
		MayAnswer:   n.mayAnswer,
		MayStart:    n.mayStart,
		Redirect:    n.sendOn,
		Epoch:       n.member.Epoch,
		RaiseEpoch:  n.member.RaiseEpoch,
		MachineType: func(name string) (wire.MachineType, bool) { return n.rental.Type(name) },
		FindJob:     n.jobs.Get,
		Publish: func(news agent.ViewUpdate) {
			n.net.All(func(e *peer.Envelope) {
				e.Views = append(e.Views, news.Views...)
				e.Deltas = append(e.Deltas, news.Deltas...)
			})
		},
		ViewChanged: func(v *agent.View, c *agent.Changes) {
			n.placer.View(v, c)
			n.rental.View(v)
		},
		SendRejection: func(to string, d agent.Rejection) {
			n.at(to, func() { l.Post(func() { n.placer.Drop(cfg.Label, d) }) }, func(e *peer.Envelope) { e.Drops = append(e.Drops, d) })
		},
		StartBlocked:     n.barred,
		ClockUncertainty: cfg.ClockDifference(),
		Clock:            delivery.NewClock(cfg.ClockDifference(), loop.Seconds(cfg.Operator.StartLifeS)),
		Meter:            n.meter,
	}, n.commands)
	n.placer = placer.New(l, n.client, log, cfg, placer.Node{
		Label: cfg.Label,
		Type:  func(name string) (wire.MachineType, bool) { return n.rental.Type(name) },
		Start: func(host string, s agent.Start) {
			n.at(host, func() { n.agent.Start(s) }, func(e *peer.Envelope) { e.Starts = append(e.Starts, s) })
		},
		Check: func(host, machine string) {
			n.at(host, func() { n.agent.RequestTaskList(machine) }, func(e *peer.Envelope) { e.Checks = append(e.Checks, machine) })
		},
		Reserve: func(host string, s agent.Start) {
			n.at(host, func() { n.agent.Reserve(s) }, func(e *peer.Envelope) { e.Reserves = append(e.Reserves, s) })
		},
		Stop: func(host string, s agent.Stop) {
			n.at(host, func() { n.agent.Stop(s) }, func(e *peer.Envelope) { e.Stops = append(e.Stops, s) })
		},
		Tally: func(t peer.Tally) {
			o, ok := n.member.Leader()
			if !ok {
				return
			}
			n.at(o.Node, func() { n.rental.Tally(cfg.Label, t) }, func(e *peer.Envelope) { e.Tally = &t })
		},
		Tells:      cfg.Operator.API.Enabled,
		Meter:      n.meter,
		Membership: n.member,
		Tell: func(p []peer.Progress) {
			n.told(p, true)
			n.net.All(func(e *peer.Envelope) { e.Progress = append(e.Progress, p...) })
		},
		Usage: func(u []peer.Usage) {
			n.placer.Learn(u)
			n.net.All(func(e *peer.Envelope) { e.Usage = u })
		},
		Claims: func(c []peer.Claim) {
			n.net.All(func(e *peer.Envelope) { e.Claims = append(e.Claims, c...) })
		},
	}, n.jobs, n.agent, n.cordons)
	n.rental = rental.New(l, log, cfg, n.client, n.mirror, out.Cloud, n.agent, rental.Node{
		Close: func(host string, c peer.Close) {
			n.at(host, func() { n.agent.CloseToStarts(c.Machine, c.Until) }, func(e *peer.Envelope) { e.Closes = append(e.Closes, c) })
		},
		Unheard: func(zone string) bool {
			for _, p := range cfg.Known {
				if p.Site == zone && !n.reach.Heard(p.Label, 3*loop.Second) {
					return true
				}
			}
			return false
		},
		Entitled: n.member.Entitled,
		Isolated: func() bool { return n.reach.Isolated() && !n.member.AllAlone() },
		Faulty:   n.placer.Faulty,
		Meter:    n.meter,
		Cordoned: func(typ, zone string, spot bool) bool {
			return n.cordons.Barred(cordon.Place{Type: typ, Zone: zone, Spot: spot})
		},
		Probe: out.Probe,
	})
	n.rental.OnGone = n.placer.Gone
	n.jobs.OnJob = func(j *job.Job) {
		if j.Phase == job.Cancelled {
			n.horizon.RecordCancellation(horizon.Cancellation{Job: j.ID, Revision: j.CancelledRevision()})
		}
		if j.Final() {
			delete(n.progress, j.ID)
			if n.more != nil {
				own := j.Spec != nil && n.placer.Owns(j.Spec.Team)
				n.more.desk.Lines.Over(j.ID, l.Wall(), own)
			}
		}
		n.placer.Job(j)
	}
	n.member.Isolated = n.reach.Isolated
	n.member.Fit, n.member.Broken = n.reach.Fit, n.reach.Broken
	n.member.Weight = n.placer.InUse
	n.member.OnOwned = n.placer.Owned
	n.member.OnAssigned = n.placer.Assigned
	n.member.OnReleased = n.placer.Released
	n.member.OnLeader = n.rental.Lead
	n.net.Receive = n.receive
	n.net.NewLife = func(label string) {
		if claims := n.placer.ClaimsInForce(); len(claims) > 0 {
			n.net.To(label, func(e *peer.Envelope) { e.Claims = append(e.Claims, claims...) })
		}
	}
	n.net.Up = func(label string) {
		n.agent.Republish()
		n.net.To(label, func(e *peer.Envelope) { e.Teams = cfg.TeamNames() })
	}
	n.net.Refused = func(label string) {
		if l.Now()-n.net.Known(label).Heard > 1200*loop.Millisecond && l.Now()-n.began > 5*loop.Second {
			n.member.Evict(label)
		}
	}
	if cfg.Operator.API.Enabled {
		n.explain()
	}
	n.front = front.New(l, log, cfg, front.Node{
		API:     n.v1(),
		Healthy: n.healthy,
		Ready:   n.ready,
		Types:   n.rental.Types,
		Foreign: n.member.Foreign,
		Jobs:    n.jobs,
		Agent:   n.agent,
		Counts:  n.counts,
	})
	return n
}

// v1 is the handler of /v1/, nil while that is off.
func (n *Node) v1() fasthttp.RequestHandler {
	if n.more == nil {
		return nil
	}
	return n.more.api.Handle
}

// at does something here, if the named node is this one, or tells that node of it.
func (n *Node) at(label string, here func(), there func(*peer.Envelope)) {
	if label == n.cfg.Label {
		here()
		return
	}
	n.net.To(label, there)
}

func (n *Node) commands(addr string, c wire.Commands, timeout time.Duration) store.Response {
	return n.out.Workers(addr, "POST", "/commands", wire.Marshal(c), timeout)
}

func (n *Node) status() {
	n.reach.Look()
	n.isolate()
	if n.mirror.Ready() {
		n.client.SetShare(admission.Part(n.member.Nodes(), n.cfg.Cluster.Nodes, n.member.Entitled()))
	}
	s := &peer.Status{Wall: n.loop.Wall(), Contact: n.contact() && n.member.Entitled(), Hosted: n.agent.HostedCount(), Hears: []string{}}
	for _, label := range n.net.Peers() {
		if n.reach.Heard(label, reach.Fresh) {
			s.Hears = append(s.Hears, label)
		}
	}
	places := n.jobs.TakeQueuePositions()
	n.net.All(func(e *peer.Envelope) { e.Status, e.Places = s, places })
	n.meter.Horizon(n.horizon.UpdateState())
	for _, label := range n.net.Peers() {
		n.net.To(label, func(e *peer.Envelope) { e.Horizon = n.horizon.MessageFor(label) })
	}
}

// Begin starts the slices, on the loop.
func (n *Node) Begin() {
	n.member.Start()
	n.mirror.Start()
	loop.Every(n.loop, 700*loop.Millisecond, n.status)
}

// Run listens and works until the context ends.
func (n *Node) Run(ctx context.Context) error {
	users, err := net.Listen("tcp4", n.cfg.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	peers, err := net.Listen("tcp4", n.cfg.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	g, ctx := errgroup.WithContext(ctx)
	n.loop.Post(n.Begin)
	if l, ok := n.loop.(*loop.Loop); ok {
		g.Go(func() error { return l.Run(ctx) })
	}
	g.Go(func() error { return n.net.Run(ctx, peers) })
	g.Go(func() error { return n.front.Serve(users) })
	g.Go(func() error {
		<-ctx.Done()
		users.Close()
		return ctx.Err()
	})
	return g.Wait()
}
