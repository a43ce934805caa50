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

// mayCall tells whether the pacing lets a cloud call go out now. The cloud allows
// bursts worth two seconds; when all machines are to be rented at once, these count.
func (t *Rental) mayCall(now loop.Micros) bool {
	rate := 0.95 * t.cfg.Cluster.Cloud.RPS
	if gap := t.cfg.Operator.CloudCallS; gap > 0 {
		rate = 1 / gap
	}
	if t.allowAt != 0 {
		t.allow += float64(now-t.allowAt) / 1e6 * rate
	}
	if most := max(1.8*rate-1, 1); t.allow > most || t.allowAt == 0 {
		t.allow = most
	}
	t.allowAt = now
	return !t.calling && now >= t.pauseTo && t.allow >= 1
}

// call makes one paced cloud call.
func (t *Rental) call(method, path string, body any, timeout loop.Micros, cb func(store.Response)) {
	t.calling = true
	t.allow--
	var raw []byte
	if body != nil {
		raw = wire.Marshal(body)
	}
	t.r.Go(func() {
		resp := t.cloud.Do(method, path, raw, loop.Duration(timeout))
		t.r.Post(func() {
			t.calling = false
			if resp.Err != nil || resp.Status == 429 || (resp.Status == 503 && !strings.Contains(string(resp.Body), "capacity")) {
				t.pauseTo = t.r.Now() + 600*loop.Millisecond
			}
			t.n.Meter.Cloud(metric.Outcome(resp.Status, resp.Err))
			cb(resp)
		})
	})
}

func (t *Rental) fetchCatalog() {
	t.call("GET", "/catalog", nil, 4*loop.Second, func(resp store.Response) {
		var c wire.Catalog
		if resp.Err != nil || resp.Status != 200 || wire.Unmarshal(resp.Body, &c) != nil || len(c.Types) == 0 {
			t.log.Info("no catalog", "status", resp.Status, "err", resp.Err)
			return
		}
		good := c.Types[:0:0]
		for _, x := range c.Types {
			if x.Name == "" || !(x.CPUs > 0) || x.MemoryGB < 0 || !(x.Price > 0) || len(x.Zones) == 0 || math.IsInf(x.CPUs, 0) {
				t.log.Error("catalog entry set aside", "type", x.Name)
				continue
			}
			good = append(good, x)
		}
		t.catAt = t.r.Now()
		t.setCatalog(good)
		ch := wire.Change{Put: CatalogKey, Value: catalogRecord{good}}
		t.c.Txn(store.Background, wire.Txn{If: []wire.Cond{member.LeaderCond(t.claim)}, Then: []wire.Change{ch}}, func(r store.Result) {
			if r.Outcome == store.Applied {
				t.m.Apply(CatalogKey, wire.Marshal(ch.Value), r.Revision, false)
			}
		})
	})
}

// list reads the cloud's list of machines, page by page. The list lags, so a
// missing machine proves nothing; a listed one is there.
func (t *Rental) list(since string, all []wire.Listed) {
	path := "/machines?limit=500"
	if since != "" {
		path += "&since=" + url.QueryEscape(since)
	}
	t.call("GET", path, nil, 4*loop.Second, func(resp store.Response) {
		var l wire.Listing
		if !t.leads || resp.Err != nil || resp.Status != 200 || wire.Unmarshal(resp.Body, &l) != nil {
			return
		}
		all = append(all, l.Machines...)
		if l.More && len(l.Machines) > 0 {
			t.list(l.Machines[len(l.Machines)-1].Name, all)
			return
		}
		t.listAt, t.listed = t.r.Now(), true
		for _, x := range all {
			m := t.adopt(x.Name, x.Type, x.Zone, x.Spot)
			if m == nil {
				continue
			}
			m.listed = x.State
			if x.AgeS >= 0 && x.AgeS < 1e8 {
				m.since = min(m.since, t.r.Now()-loop.Seconds(x.AgeS))
			}
		}
	})
}
