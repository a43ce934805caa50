// Package node assembles one controller from its parts: state service client, membership, jobs, scheduler,
// workers' registry, autoscaler, messages to peers and the HTTP interfaces. It decides what needs several of
// them: whether reports may be answered, where a worker that may not be answered should report instead, and
// whether users' requests can be decided here. Everything else is left to the packages that it connects.
// All of a controller's state is handled on one event loop.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"cleatpick/internal/admission"
	"cleatpick/internal/autoscaler"
	"cleatpick/internal/config"
	"cleatpick/internal/cordon"
	"cleatpick/internal/delivery"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/failuredetector"
	"cleatpick/internal/httpapi"
	"cleatpick/internal/job"
	"cleatpick/internal/membership"
	"cleatpick/internal/metric"
	"cleatpick/internal/peer"
	"cleatpick/internal/reachability"
	"cleatpick/internal/scheduler"
	"cleatpick/internal/store"
	"cleatpick/internal/watermark"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// Node is one controller.
type Node struct {
	cfg           *config.Config
	log           *slog.Logger
	loop          eventloop.Runner
	client        *store.Client
	mirror        *store.Mirror
	member        *membership.Member
	jobs          *job.Registry
	cordons       *cordon.Registry
	workers       *workers.Registry
	scheduler     *scheduler.Scheduler
	autoscaler    *autoscaler.Autoscaler
	net           *peer.Net
	reachability  *reachability.Tracker
	watermark     *watermark.Tracker
	httpServer    *httpapi.Server
	deps          Dependencies
	progress      map[string]job.Counts
	meter         *metric.Meter // nil while /v1/ is off
	apiParts      *apiParts     // nil while /v1/ is off
	startedAt     eventloop.Micros
	isolatedSince eventloop.Micros // since when no peer is reachable; 0: at least one is
}

// Dependencies holds the services that a controller depends on; tests supply fakes.
type Dependencies struct {
	Loop  eventloop.Runner
	State store.Doer
	Watch store.Doer
	Cloud store.Doer
	// Workers sends a request to a worker's address; it blocks until the answer or the timeout.
	Workers func(addr, method, path string, body []byte, timeout time.Duration) store.Response
	// Probe asks a worker whose reports stopped whether it is alive; it blocks.
	Probe func(addr string) failuredetector.ProbeResult
}

// New returns a controller connected to the real services; Run runs it.
func New(cfg *config.Config, log *slog.Logger) *Node {
	socks := &sockets{limit: cfg.Cluster.Limits.MaxSockets}
	workerClient := &fasthttp.Client{
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
	n := NewWith(cfg, log, Dependencies{
		Loop:  eventloop.New(),
		State: store.NewDoer(cfg.Outside.State, 32),
		Watch: store.NewDoer(cfg.Outside.State, 4),
		Cloud: store.NewDoer(cfg.Outside.Cloud, 4),
		Workers: func(addr, method, path string, body []byte, timeout time.Duration) store.Response {
			return store.Exchange(workerClient, addr, method, path, body, timeout)
		},
		Probe: probe,
	})
	socks.incoming = n.httpServer.OpenConnections
	n.httpServer.NearConnectionLimit = func() bool { return socks.above(closeReportsAbove) }
	socks.watch(n.loop, workerClient.CloseIdleConnections)
	return n
}

// NewWith returns a controller connected to the given services.
func NewWith(cfg *config.Config, log *slog.Logger, deps Dependencies) *Node {
	n := &Node{cfg: cfg, log: log, loop: deps.Loop, deps: deps, progress: map[string]job.Counts{}}
	l := n.loop
	n.startedAt = l.Now()
	if cfg.Operator.API.Enabled {
		n.meter = metric.New()
	}
	nodes := max(cfg.Cluster.Nodes, 1)
	n.client = store.NewClient(l, deps.State, log, cfg.Cluster.State.RPS, cfg.Cluster.State.WriteRPS, nodes)
	n.client.SetMaxChanges(cfg.Cluster.State.TxnOps)
	n.client.Meter = n.meter
	n.mirror = store.NewMirror(n.client, deps.Watch, membership.Prefix)
	n.member = membership.New(l, n.client, n.mirror, log, membership.Settings{Label: cfg.Label, Teams: cfg.TeamNames(), Controllers: nodes,
		LeaseTTL: eventloop.Seconds(cfg.Operator.NodeLeaseS), TeamsOnly: !cfg.Operator.NumberedPartitions})
	n.jobs = job.NewRegistry(l, n.client, n.mirror, log)
	n.jobs.ConfigureAdmission(func(team string) float64 {
		t, _ := cfg.FindTeam(team)
		return cfg.Quota(t).Weight
	}, cfg.Cluster.State.WriteRPS*0.45/float64(nodes))
	n.jobs.SetMaxWaitingReads(cfg.Cluster.Limits.MaxSockets / 5)
	n.cordons = cordon.NewRegistry(l, n.client, n.mirror, log, cfg.ClockDifference())
	n.net = peer.New(l, log, cfg.Label, cfg.Known)
	n.reachability = reachability.New(l, log, cfg.Label, n.net.Peers(), cfg.ClockDifference())
	n.reachability.StateContact = n.hasStateContact
	n.reachability.OnChange = func(_ string, to reachability.State, damped bool) { n.meter.PeerState(to.String(), damped) }
	n.net.Incarnation, n.net.ClockDifference = l.Wall(), cfg.ClockDifference()
	n.net.OnEarlierFrame = func(string) { n.meter.StaleFrame() }
	n.setUpWatermark()
	n.watchPauses()
	n.workers = workers.New(l, log, workers.Config{
		Label:       cfg.Label,
		Incarnation: n.net.Incarnation,
		MayAnswer:   n.mayAnswer,
		MayStart:    n.mayStart,
		Redirect:    n.redirect,
		Epoch:       n.member.Epoch,
		RaiseEpoch:  n.member.RaiseEpoch,
		MachineType: func(name string) (wire.MachineType, bool) { return n.autoscaler.Type(name) },
		FindJob:     n.jobs.Get,
		Publish: func(update workers.ViewUpdate) {
			n.net.SendAll(func(e *peer.Envelope) {
				e.Views = append(e.Views, update.Views...)
				e.Deltas = append(e.Deltas, update.Deltas...)
			})
		},
		ViewChanged: func(v *workers.View, c *workers.Changes) {
			n.scheduler.ViewChanged(v, c)
			n.autoscaler.UpdateView(v)
		},
		SendRejection: func(to string, d workers.Rejection) {
			n.dispatch(to, func() { l.Post(func() { n.scheduler.StartRejected(cfg.Label, d) }) }, func(e *peer.Envelope) { e.Rejections = append(e.Rejections, d) })
		},
		StartBlocked:    n.startBlocked,
		ClockDifference: cfg.ClockDifference(),
		Clock:           delivery.NewClockBounds(cfg.ClockDifference(), eventloop.Seconds(cfg.Operator.StartLifetimeS)),
		Meter:           n.meter,
	}, n.sendCommands)
	n.scheduler = scheduler.New(l, n.client, log, cfg, scheduler.Dependencies{
		Label: cfg.Label,
		Type:  func(name string) (wire.MachineType, bool) { return n.autoscaler.Type(name) },
		Start: func(host string, s workers.Start) {
			n.dispatch(host, func() { n.workers.Start(s) }, func(e *peer.Envelope) { e.Starts = append(e.Starts, s) })
		},
		RequestTaskList: func(host, machine string) {
			n.dispatch(host, func() { n.workers.RequestTaskList(machine) }, func(e *peer.Envelope) { e.TaskListRequests = append(e.TaskListRequests, machine) })
		},
		Reserve: func(host string, s workers.Start) {
			n.dispatch(host, func() { n.workers.Reserve(s) }, func(e *peer.Envelope) { e.StartReservations = append(e.StartReservations, s) })
		},
		Stop: func(host string, s workers.Stop) {
			n.dispatch(host, func() { n.workers.Stop(s) }, func(e *peer.Envelope) { e.Stops = append(e.Stops, s) })
		},
		SendDemand: func(t peer.Demand) {
			o, ok := n.member.Leader()
			if !ok {
				return
			}
			n.dispatch(o.Node, func() { n.autoscaler.UpdateDemand(cfg.Label, t) }, func(e *peer.Envelope) { e.Demand = &t })
		},
		ReportCauses: cfg.Operator.API.Enabled,
		Meter:        n.meter,
		Membership:   n.member,
		SendProgress: func(p []peer.Progress) {
			n.applyCauses(p, true)
			n.net.SendAll(func(e *peer.Envelope) { e.Progress = append(e.Progress, p...) })
		},
		SendUsage: func(u []peer.Usage) {
			n.scheduler.UsageReceived(u)
			n.net.SendAll(func(e *peer.Envelope) { e.Usage = u })
		},
		SendReservations: func(c []peer.Reservation) {
			n.net.SendAll(func(e *peer.Envelope) { e.Reservations = append(e.Reservations, c...) })
		},
	}, n.jobs, n.workers, n.cordons)
	n.autoscaler = autoscaler.New(l, log, cfg, n.client, n.mirror, deps.Cloud, n.workers, autoscaler.Dependencies{
		Close: func(host string, c peer.StartBlock) {
			n.dispatch(host, func() { n.workers.CloseToStarts(c.Machine, c.Until) }, func(e *peer.Envelope) { e.StartBlocks = append(e.StartBlocks, c) })
		},
		PeerUnreachable: func(zone string) bool {
			for _, p := range cfg.Known {
				if p.Site == zone && !n.reachability.ReceivedWithin(p.Label, 3*eventloop.Second) {
					return true
				}
			}
			return false
		},
		LeaseValid: n.member.LeaseValid,
		Isolated:   func() bool { return n.reachability.Isolated() && !n.member.AllIsolated() },
		Faulty:     n.scheduler.Faulty,
		Meter:      n.meter,
		Cordoned: func(typ, zone string, spot bool) bool {
			return n.cordons.Blocked(cordon.Place{Type: typ, Zone: zone, Spot: spot})
		},
		Probe: deps.Probe,
	})
	n.autoscaler.OnDeleted = n.scheduler.MachineDeleted
	n.jobs.OnJob = func(j *job.Job) {
		if j.Phase == job.Cancelled {
			n.watermark.RecordCancellation(watermark.Cancellation{Job: j.ID, Revision: j.CancelledRevision()})
		}
		if j.Final() {
			delete(n.progress, j.ID)
			if n.apiParts != nil {
				own := j.Spec != nil && n.scheduler.OwnsTeam(j.Spec.Team)
				n.apiParts.explanations.Timelines.Finish(j.ID, l.Wall(), own)
			}
		}
		n.scheduler.JobChanged(j)
	}
	n.member.Isolated = n.reachability.Isolated
	n.member.Fit, n.member.PartlyDisconnected = n.reachability.Fit, n.reachability.PartlyDisconnected
	n.member.Weight = n.scheduler.TasksInUse
	n.member.OnOwned = n.scheduler.OwnershipChanged
	n.member.OnAssigned = n.scheduler.TeamAssigned
	n.member.OnReleased = n.scheduler.TeamReleased
	n.member.OnLeader = n.autoscaler.SetLeader
	n.net.OnFrame = n.receive
	n.net.OnNewIncarnation = func(label string) {
		if reservations := n.scheduler.OwnReservations(); len(reservations) > 0 {
			n.net.Send(label, func(e *peer.Envelope) { e.Reservations = append(e.Reservations, reservations...) })
		}
	}
	n.net.OnConnected = func(label string) {
		views := n.workers.PublishedViews()
		n.net.Send(label, func(e *peer.Envelope) {
			e.Teams = cfg.TeamNames()
			e.Views = append(e.Views, views...)
		})
	}
	n.net.OnRefused = func(label string) {
		if l.Now()-n.net.State(label).ReceivedAt > 1200*eventloop.Millisecond && l.Now()-n.startedAt > 5*eventloop.Second {
			n.member.Evict(label)
		}
	}
	if cfg.Operator.API.Enabled {
		n.setUpAPI()
	}
	n.httpServer = httpapi.New(l, log, cfg, httpapi.Node{
		API:     n.apiHandler(),
		Healthy: n.healthy,
		Ready:   n.ready,
		Types:   n.autoscaler.Types,
		Foreign: n.member.Foreign,
		Jobs:    n.jobs,
		Workers: n.workers,
		Counts:  n.counts,
	})
	return n
}

// apiHandler returns the handler of /v1/; nil if /v1/ is disabled.
func (n *Node) apiHandler() fasthttp.RequestHandler {
	if n.apiParts == nil {
		return nil
	}
	return n.apiParts.api.Handle
}

// dispatch calls local if label names this controller, and otherwise lets remote add to the next message to that peer.
func (n *Node) dispatch(label string, local func(), remote func(*peer.Envelope)) {
	if label == n.cfg.Label {
		local()
		return
	}
	n.net.Send(label, remote)
}

func (n *Node) sendCommands(addr string, c wire.Commands, timeout time.Duration) store.Response {
	return n.deps.Workers(addr, "POST", "/commands", wire.Marshal(c), timeout)
}

func (n *Node) sendStatus() {
	n.reachability.Update()
	n.trackIsolation()
	if n.mirror.Ready() {
		n.client.SetShare(admission.RateFraction(n.member.RegisteredCount(), n.cfg.Cluster.Nodes, n.member.LeaseValid()))
	}
	s := &peer.Status{Wall: n.loop.Wall(), Contact: n.hasStateContact() && n.member.LeaseValid(), Hosted: n.workers.HostedCount(), Reachable: []string{}}
	for _, label := range n.net.Peers() {
		if n.reachability.ReceivedWithin(label, reachability.MaxAge) {
			s.Reachable = append(s.Reachable, label)
		}
	}
	places := n.jobs.TakeQueuePositions()
	n.net.SendAll(func(e *peer.Envelope) { e.Status, e.QueuePositions = s, places })
	n.meter.WatermarkAge(n.watermark.UpdateState())
	for _, label := range n.net.Peers() {
		n.net.Send(label, func(e *peer.Envelope) { e.Watermark = n.watermark.MessageFor(label) })
	}
}

// Start starts the controller's parts; it is called on the event loop.
func (n *Node) Start() {
	n.member.Start()
	n.mirror.Start()
	eventloop.Every(n.loop, 700*eventloop.Millisecond, n.sendStatus)
}

// Run serves users, workers and peers until the context ends.
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
	n.loop.Post(n.Start)
	if l, ok := n.loop.(*eventloop.Loop); ok {
		g.Go(func() error { return l.Run(ctx) })
	}
	g.Go(func() error { return n.net.Run(ctx, peers) })
	g.Go(func() error { return n.httpServer.Serve(users) })
	g.Go(func() error {
		<-ctx.Done()
		users.Close()
		return ctx.Err()
	})
	return g.Wait()
}
