package autoscaler

import (
	"cmp"
	"slices"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/explain"
	"cleatpick/internal/job"
)

// maxOffers bounds each list in a supply.
const maxOffers = 20

// Supply describes what this leader has rented or requested from the cloud that could take a task with spec
// s.
func (a *Autoscaler) Supply(s *job.Spec) explain.Supply {
	out := explain.Supply{State: "nothing"}
	if !a.leads {
		out.State = "noLeader"
		return out
	}
	now, wall := a.runner.Now(), a.runner.Wall()
	serves := func(o offer) bool { return a.fitsOffer(o, s) && !a.cordoned(o) }
	for _, w := range a.requests() {
		if w.CPUs == s.CPUs && w.GPUs == s.GPUs && w.MemoryGB == s.MemoryGB && w.Zone == s.Zone && w.Spot == s.Spot && slices.Equal(w.Types, s.Types) {
			out.Unplaced += w.Count
		}
	}
	for of := range a.allOffers() {
		if !serves(of) {
			continue
		}
		out.Offers++
		if b := a.offers[of]; b != nil && now < b.until && len(out.Refused) < maxOffers {
			until := explain.Time(wall + b.until - now)
			out.Refused = append(out.Refused, explain.Offer{Type: of.typ, Zone: of.zone, Kind: explain.MachineKind(of.spot), Until: &until})
		}
	}
	for _, o := range a.orders {
		if !o.record.Answered && !o.refused && serves(offer{o.record.Type, o.record.Zone, o.record.Spot}) && len(out.Ordered) < maxOffers {
			out.Ordered = append(out.Ordered, explain.Offer{Type: o.record.Type, Zone: o.record.Zone, Kind: explain.MachineKind(o.record.Spot), Count: o.record.Count})
		}
	}
	a.addBooting(&out, serves)
	switch {
	case len(out.Booting) > 0:
		out.State = "booting"
	case len(out.Ordered) > 0:
		out.State = "ordered"
	case out.Offers > 0 && len(out.Refused) == out.Offers:
		out.State = "refused"
	case out.Offers > 0 && out.Unplaced > 0:
		out.State = "requested"
	case out.Offers > 0:
		out.State = "notAsked" // machines are not rented for requests that fit into free capacity
	}
	return out
}

// addBooting counts the booting machines by offer, and estimates when the next of them is up.
func (a *Autoscaler) addBooting(out *explain.Supply, serves func(offer) bool) {
	now := a.runner.Now()
	by := map[offer]*explain.Booting{}
	for _, m := range a.machines {
		of := offer{m.typ, m.zone, m.spot}
		if m.state != Booting || !serves(of) {
			continue
		}
		b := by[of]
		if b == nil {
			if len(by) >= maxOffers {
				continue
			}
			b = &explain.Booting{Offer: explain.Offer{Type: m.typ, Zone: m.zone, Kind: explain.MachineKind(m.spot)}, Nominal: explain.Duration(eventloop.Seconds(a.byName[m.typ].BootS))}
			by[of] = b
		}
		b.Count++
		b.Age = max(b.Age, explain.Duration(now-m.since))
	}
	for _, b := range by {
		out.Booting = append(out.Booting, *b)
		nominal := a.byName[b.Type].BootS
		if e := a.bootTimes.Remaining(eventloop.Micros(float64(b.Age) / max(nominal, 0.001))); e != nil {
			e.Low, e.Likely, e.High = scale(e.Low, nominal), scale(e.Likely, nominal), scale(e.High, nominal)
			if out.Estimate == nil || e.Likely < out.Estimate.Likely {
				out.Estimate = e
			}
		}
	}
	slices.SortFunc(out.Booting, func(x, y explain.Booting) int {
		return cmp.Or(cmp.Compare(x.Type, y.Type), cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Kind, y.Kind))
	})
}

func scale(s explain.Duration, by float64) explain.Duration { return explain.Duration(float64(s) * by) }
