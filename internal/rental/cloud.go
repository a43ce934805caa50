package rental

import (
	"math"
	"net/url"
	"strings"

	"cleatpick/internal/loop"
	"cleatpick/internal/member"
	"cleatpick/internal/metric"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// mayCall reports whether pacing allows a cloud call now. The cloud allows bursts of two seconds' worth of
// calls, which matter when many machines are rented at once.
func (t *Autoscaler) mayCall(now loop.Micros) bool {
	rate := 0.95 * t.cfg.Cluster.Cloud.RPS
	if gap := t.cfg.Operator.CloudCallIntervalS; gap > 0 {
		rate = 1 / gap
	}
	if t.callBudgetAt != 0 {
		t.callBudget += float64(now-t.callBudgetAt) / 1e6 * rate
	}
	if most := max(1.8*rate-1, 1); t.callBudget > most || t.callBudgetAt == 0 {
		t.callBudget = most
	}
	t.callBudgetAt = now
	return !t.calling && now >= t.pausedUntil && t.callBudget >= 1
}

// call makes one paced cloud call. One call is made at a time.
func (t *Autoscaler) call(method, path string, body any, timeout loop.Micros, done func(store.Response)) {
	t.calling = true
	t.callBudget--
	var raw []byte
	if body != nil {
		raw = wire.Marshal(body)
	}
	t.runner.Go(func() {
		resp := t.cloud.Do(method, path, raw, loop.Duration(timeout))
		t.runner.Post(func() {
			t.calling = false
			if resp.Err != nil || resp.Status == 429 || (resp.Status == 503 && !strings.Contains(string(resp.Body), "capacity")) {
				t.pausedUntil = t.runner.Now() + 600*loop.Millisecond
			}
			t.deps.Meter.CloudRequest(metric.Outcome(resp.Status, resp.Err))
			done(resp)
		})
	})
}

// fetchCatalog reads the machine types and prices, drops entries that cannot be used, and records the rest
// for the other controllers.
func (t *Autoscaler) fetchCatalog() {
	t.call("GET", "/catalog", nil, 4*loop.Second, func(resp store.Response) {
		var c wire.Catalog
		if resp.Err != nil || resp.Status != 200 || wire.Unmarshal(resp.Body, &c) != nil || len(c.Types) == 0 {
			t.log.Info("reading the cloud's catalog failed; keeping the known machine types and trying again", "status", resp.Status, "err", resp.Err)
			return
		}
		good := c.Types[:0:0]
		for _, x := range c.Types {
			if x.Name == "" || !(x.CPUs > 0) || x.MemoryGB < 0 || !(x.Price > 0) || len(x.Zones) == 0 || math.IsInf(x.CPUs, 0) {
				t.log.Error("invalid machine type in the cloud's catalog ignored", "type", x.Name)
				continue
			}
			good = append(good, x)
		}
		t.catalogAt = t.runner.Now()
		t.setCatalog(good)
		ch := wire.Change{Put: CatalogKey, Value: catalogRecord{good}}
		t.client.Txn(store.Background, wire.Txn{If: []wire.Cond{member.LeaderCond(t.claim)}, Then: []wire.Change{ch}}, func(r store.Result) {
			if r.Outcome == store.Applied {
				t.mirror.Apply(CatalogKey, wire.Marshal(ch.Value), r.Revision, false)
			}
		})
	})
}

// list reads the cloud's list of machines, page by page. The list lags behind, so that a machine missing from
// it may exist; a machine on it does exist.
func (t *Autoscaler) list(since string, all []wire.CloudMachine) {
	path := "/machines?limit=500"
	if since != "" {
		path += "&since=" + url.QueryEscape(since)
	}
	t.call("GET", path, nil, 4*loop.Second, func(resp store.Response) {
		var l wire.MachinePage
		if !t.leads || resp.Err != nil || resp.Status != 200 || wire.Unmarshal(resp.Body, &l) != nil {
			return
		}
		all = append(all, l.Machines...)
		if l.More && len(l.Machines) > 0 {
			t.list(l.Machines[len(l.Machines)-1].Name, all)
			return
		}
		t.listAt, t.listed = t.runner.Now(), true
		for _, x := range all {
			m := t.adopt(x.Name, x.Type, x.Zone, x.Spot)
			if m == nil {
				continue
			}
			m.listed = x.State
			if x.AgeS >= 0 && x.AgeS < 1e8 {
				m.since = min(m.since, t.runner.Now()-loop.Seconds(x.AgeS))
			}
		}
	})
}
