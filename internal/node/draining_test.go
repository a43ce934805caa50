package node

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/wire"
)

// offerKind is a zone and whether spot machines are meant.
type offerKind struct {
	zone string
	spot bool
}

// limitOffers lets the cloud have only so many machines of each kind at a time. A spot machine that was reclaimed is not
// offered again.
func (w *simulation) limitOffers(limits map[offerKind]int) (reclaimSpot func(share float64)) {
	w.cloud.Limit = func(r wire.RentRequest) int {
		rented := 0
		for _, x := range w.workers {
			if !x.deleted && x.w.Zone == r.Zone && x.w.Spot == r.Spot {
				rented++
			}
		}
		return limits[offerKind{r.Zone, r.Spot}] - rented
	}
	return func(share float64) {
		for _, name := range w.someMachines(share) {
			if x := w.workers[name]; x.w.Spot {
				limits[offerKind{x.w.Zone, true}]--
				w.cloud.Reclaim(name)
			}
		}
	}
}

// service returns a service of some replicas that run until the end, some of them bound to a zone or to ordinary machines.
func (w *simulation) service(i int) *simJob {
	s := &job.Spec{Class: "s", Team: []string{"red", "blue"}[w.rng.IntN(2)], Service: true, Priority: job.High, Tasks: 1 + w.rng.IntN(2), CPUs: float64(1 + w.rng.IntN(3)), MemoryGB: 2, Image: "i", ImageGB: 1,
		AnyType: true, Spot: w.rng.IntN(2) == 0}
	if w.rng.IntN(3) > 0 {
		s.Zone = w.zones[w.rng.IntN(len(w.zones))]
	}
	return &simJob{id: fmt.Sprintf("job-%06d", i), spec: s, run: 10000 * eventloop.Second}
}

// No job waits for long beside a machine with free capacity that fits, though services hold machines for ever, the cloud
// has no more machines of some kinds, and jobs are bound to zones. Machines that were found not needed once stayed closed
// while anything was free anywhere.
func TestNothingWaitsBesideDrainingMachines(t *testing.T) {
	from, to := seedRange(t, 1, 16)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 7004))
			size := clusterSize{nodes: 3, zones: 2 + r.IntN(3), each: 20}
			w := newSimulationOf(t, seed, size, func(c *config.Config) {
				c.Operator.StandbyMeanS, c.Operator.OrdinaryStandbyMeanS = 10, 5
				c.Cluster.Teams = []config.Team{{Name: "red", CPUs: 60, CPUsMax: 200}, {Name: "blue", CPUs: 60, CPUsMax: 200}}
			})
			limits := map[offerKind]int{}
			for _, zone := range w.zones {
				limits[offerKind{zone, true}], limits[offerKind{zone, false}] = 1+r.IntN(4), 1+r.IntN(2)
			}
			reclaimSpot := w.limitOffers(limits)
			for i := range 3 * size.zones {
				w.after(w.between(eventloop.Second, 20*eventloop.Second), func() { w.simulateUser(w.service(i)) })
			}
			for i := range 30 {
				w.after(w.between(eventloop.Second, 120*eventloop.Second), func() { w.addJob(100 + i) })
			}
			w.repeatFaults(30*eventloop.Second, 20*eventloop.Second, 60*eventloop.Second, func() { reclaimSpot(0.3) })
			for i := range 20 {
				w.after(w.between(150*eventloop.Second, 500*eventloop.Second), func() {
					j := w.makeJob(200 + i)
					j.spec.Tasks, j.spec.OneZone, j.spec.Spread = 1, false, false
					j.spec.Zone = w.zones[w.rng.IntN(len(w.zones))]
					w.simulateUser(j)
				})
			}
			w.startChecks(140 * eventloop.Second)
			w.run(3600*eventloop.Second + 800*eventloop.Second)
			if w.starts < 40 {
				t.Errorf("only %d tasks were started", w.starts)
			}
		})
	}
}
