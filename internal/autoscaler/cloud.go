package autoscaler

import (
	"math"
	"net/url"
	"strings"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/membership"
	"cleatpick/internal/metric"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// mayCall reports whether pacing allows a cloud call now. The cloud allows bursts of two seconds' worth of
// calls, which matter when many machines are rented at once.
func (a *Autoscaler) mayCall(now eventloop.Micros) bool {
	rate := 0.95 * a.cfg.Cluster.Cloud.RPS
	if gap := a.cfg.Operator.CloudCallIntervalS; gap > 0 {
		rate = 1 / gap
	}
	if a.callBudgetAt != 0 {
		a.callBudget += float64(now-a.callBudgetAt) / 1e6 * rate
	}
	if most := max(1.8*rate-1, 1); a.callBudget > most || a.callBudgetAt == 0 {
		a.callBudget = most
	}
	a.callBudgetAt = now
	return !a.calling && now >= a.pausedUntil && a.callBudget >= 1
}

// call makes one paced cloud call. One call is made at a time.
func (a *Autoscaler) call(method, path string, body any, timeout eventloop.Micros, done func(store.Response)) {
	a.calling = true
	a.callBudget--
	var raw []byte
	if body != nil {
		raw = wire.Marshal(body)
	}
	a.runner.Go(func() {
		resp := a.cloud.Do(method, path, raw, eventloop.Duration(timeout))
		a.runner.Post(func() {
			a.calling = false
			if resp.Err != nil || resp.Status == 429 || (resp.Status == 503 && !strings.Contains(string(resp.Body), "capacity")) {
				a.pausedUntil = a.runner.Now() + 600*eventloop.Millisecond
			}
			a.deps.Meter.CloudRequest(metric.Outcome(resp.Status, resp.Err))
			done(resp)
		})
	})
}

// fetchCatalog reads the machine types and prices, drops entries that cannot be used, and records the rest
// for the other controllers.
func (a *Autoscaler) fetchCatalog() {
	a.call("GET", "/catalog", nil, 4*eventloop.Second, func(resp store.Response) {
		var c wire.Catalog
		if resp.Err != nil || resp.Status != 200 || wire.Unmarshal(resp.Body, &c) != nil || len(c.Types) == 0 {
			a.log.Info("reading the cloud's catalog failed; keeping the known machine types and trying again", "status", resp.Status, "err", resp.Err)
			return
		}
		good := c.Types[:0:0]
		for _, x := range c.Types {
			if x.Name == "" || !(x.CPUs > 0) || x.MemoryGB < 0 || !(x.Price > 0) || len(x.Zones) == 0 || math.IsInf(x.CPUs, 0) {
				a.log.Error("invalid machine type in the cloud's catalog ignored", "type", x.Name)
				continue
			}
			good = append(good, x)
		}
		a.catalogAt = a.runner.Now()
		a.setCatalog(good)
		ch := wire.Change{Put: CatalogKey, Value: catalogRecord{good}}
		a.client.Txn(store.Background, wire.Txn{If: []wire.Cond{membership.LeaderCond(a.claim)}, Then: []wire.Change{ch}}, func(r store.Result) {
			if r.Outcome == store.Applied {
				a.mirror.Apply(CatalogKey, wire.Marshal(ch.Value), r.Revision, false)
			}
		})
	})
}

// list reads the cloud's list of machines, page by page. The list lags behind, so that a machine missing from
// it may exist; a machine on it does exist.
func (a *Autoscaler) list(since string, all []wire.CloudMachine) {
	path := "/machines?limit=500"
	if since != "" {
		path += "&since=" + url.QueryEscape(since)
	}
	a.call("GET", path, nil, 4*eventloop.Second, func(resp store.Response) {
		var l wire.MachinePage
		if !a.leads || resp.Err != nil || resp.Status != 200 || wire.Unmarshal(resp.Body, &l) != nil {
			return
		}
		all = append(all, l.Machines...)
		if l.More && len(l.Machines) > 0 {
			a.list(l.Machines[len(l.Machines)-1].Name, all)
			return
		}
		a.listAt, a.listed = a.runner.Now(), true
		for _, x := range all {
			m := a.adopt(x.Name, x.Type, x.Zone, x.Spot)
			if m == nil {
				continue
			}
			m.listed, m.addr = x.State, x.Addr
			if x.AgeS >= 0 && x.AgeS < 1e8 {
				m.since = min(m.since, a.runner.Now()-eventloop.Seconds(x.AgeS))
			}
		}
	})
}
