// Package cordon keeps the operators' cordons: rules that exclude machines from new task
// starts by name, type, zone or kind. All cordons are in one record in the state service,
// and its revision is a condition of every transaction that records a start: once a cordon
// is stored, no owner records a start that it forbids, even if the owner does not know the
// cordon yet. The package decides which places are cordoned; it leaves the checks before a
// start to the scheduler, and running tasks alone.
package cordon

import (
	"log/slog"
	"slices"
	"strings"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// Key is the key of the record of all cordons.
const Key = "c/cordons"

// Bounds on cordons.
const (
	MaxCordons = 100 // cordons in force at a time
	MaxText    = 200 // bytes of a reason
	MaxName    = 64  // bytes of a name
)

const recordFormat = 1 // version of the record's encoding

// The kinds of machines.
const (
	Spot     = "spot"
	Ordinary = "ordinary"
)

// Cordon excludes from new starts all machines that match each of its selectors Machine,
// Type, Zone and Kind that is not empty.
type Cordon struct {
	Name    string `cbor:"n"`
	Machine string `cbor:"m,omitempty"`
	Type    string `cbor:"t,omitempty"`
	Zone    string `cbor:"z,omitempty"`
	Kind    string `cbor:"k,omitempty"`
	Reason  string `cbor:"r"`
	By      string `cbor:"b,omitempty"`
	At      int64  `cbor:"a"`           // wall clock at which it was stored
	Until   int64  `cbor:"u,omitempty"` // wall clock at which it expires; 0: never
}

// ValidName reports whether a cordon may have this name.
func ValidName(s string) bool {
	for _, c := range s {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return s != "" && len(s) <= MaxName
}

// Place describes a machine on which a task could run. Machine is empty for one that is not
// rented yet.
type Place struct {
	Machine, Type, Zone string
	Spot                bool
}

// Matches reports whether the cordon excludes the place from new starts.
func (c *Cordon) Matches(p Place) bool {
	kind := Ordinary
	if p.Spot {
		kind = Spot
	}
	return (c.Machine == "" || c.Machine == p.Machine) && (c.Type == "" || c.Type == p.Type) &&
		(c.Zone == "" || c.Zone == p.Zone) && (c.Kind == "" || c.Kind == kind)
}

type record struct {
	Format  int      `cbor:"f"`
	Cordons []Cordon `cbor:"c"`
}

// Outcome is the result of a change of the cordons.
type Outcome int

// The outcomes of a change.
const (
	Stored    Outcome = iota
	NotStored         // not stored in time, or refused by the state service: try again
	TooMany           // MaxCordons cordons are in force already
	NotFound          // there is no cordon of that name
)

// Registry holds the cordons as far as this controller knows them.
type Registry struct {
	runner          eventloop.Runner
	client          *store.Client
	mirror          *store.Mirror
	log             *slog.Logger
	clockDifference eventloop.Micros // the largest difference between two wall clocks: twice the largest error of one
	revision        uint64
	cordons         []Cordon
	damaged         bool
	version         uint64
}

// NewRegistry returns the cordons that the mirror m holds and will receive; clockDifference is the
// largest difference between two wall clocks, twice the largest error of one.
func NewRegistry(r eventloop.Runner, c *store.Client, m *store.Mirror, log *slog.Logger, clockDifference eventloop.Micros) *Registry {
	b := &Registry{runner: r, client: c, mirror: m, log: log, clockDifference: clockDifference, version: 1}
	m.OnChange(Key, b.apply)
	return b
}

func (r *Registry) apply(key string, e store.Entry) {
	if key != Key {
		return
	}
	var rec record
	r.revision, r.damaged = e.Revision, false
	if e.Revision != 0 {
		if err := wire.Unmarshal(e.Value, &rec); err != nil || rec.Format != recordFormat {
			// The cordons read last stay in force here; the next change replaces the record.
			r.log.Error("corrupt cordon record ignored; the cordons read before stay in force", "key", key, "format", rec.Format, "err", err)
			r.damaged = true
			return
		}
	}
	r.setCordons(rec.Cordons)
}

// setCordons is the only place where the cordons in force change.
func (r *Registry) setCordons(all []Cordon) {
	r.cordons = all
	r.version++
	version := r.version
	if next := r.nextExpiry(); next != 0 {
		r.runner.After(max(next+r.clockDifference-r.runner.Wall(), 0)+eventloop.Millisecond, func() {
			if version == r.version {
				r.setCordons(r.cordons)
			}
		})
	}
}

// expired reports whether a cordon has expired by the clock of every controller.
func (r *Registry) expired(c *Cordon) bool {
	return c.Until != 0 && r.runner.Wall() >= c.Until+r.clockDifference
}

// nextExpiry returns the earliest time at which a cordon in force expires, or 0 if none does.
func (r *Registry) nextExpiry() (next int64) {
	for i := range r.cordons {
		if c := &r.cordons[i]; c.Until != 0 && !r.expired(c) && (next == 0 || c.Until < next) {
			next = c.Until
		}
	}
	return next
}

// Version returns a number that grows whenever the cordons in force may have changed.
func (r *Registry) Version() uint64 { return r.version }

// Any reports whether any cordon may be in force.
func (r *Registry) Any() bool { return len(r.cordons) > 0 }

// Cond returns the condition that the stored cordons are still those known here.
func (r *Registry) Cond() wire.Cond { return wire.Cond{Key: Key, Revision: r.revision} }

// Damaged reports whether the stored record is corrupt.
func (r *Registry) Damaged() bool { return r.damaged }

// Blocked reports whether any cordon excludes the place from new starts.
func (r *Registry) Blocked(p Place) bool {
	for i := range r.cordons {
		if c := &r.cordons[i]; c.Matches(p) && !r.expired(c) {
			return true
		}
	}
	return false
}

// Blocking returns the names of the cordons that exclude the place from new starts.
func (r *Registry) Blocking(p Place) (names []string) {
	for i := range r.cordons {
		if c := &r.cordons[i]; c.Matches(p) && !r.expired(c) {
			names = append(names, c.Name)
		}
	}
	return names
}

// All returns the cordons in force, ordered by name.
func (r *Registry) All() []Cordon {
	var out []Cordon
	for i := range r.cordons {
		if !r.expired(&r.cordons[i]) {
			out = append(out, r.cordons[i])
		}
	}
	slices.SortFunc(out, func(x, y Cordon) int { return strings.Compare(x.Name, y.Name) })
	return out
}

// Put stores a cordon under its name and replaces an earlier one of that name.
func (r *Registry) Put(c Cordon, done func(Outcome)) {
	c.At = r.runner.Wall()
	r.change(func(all []Cordon) ([]Cordon, Outcome) {
		if len(all) >= MaxCordons {
			return nil, TooMany
		}
		return append(all, c), Stored
	}, c.Name, done)
}

// Remove removes a cordon.
func (r *Registry) Remove(name string, done func(Outcome)) {
	r.change(func(all []Cordon) ([]Cordon, Outcome) {
		for i := range r.cordons {
			if r.cordons[i].Name == name {
				return all, Stored
			}
		}
		return nil, NotFound
	}, name, done)
}

const changeTimeout = 1500 * eventloop.Millisecond

// change replaces the record on condition of the revision known here, and tries again from
// the newer record when the condition fails. edit gets the cordons in force except the one
// of that name, and returns those to be stored.
func (b *Registry) change(edit func([]Cordon) ([]Cordon, Outcome), name string, done func(Outcome)) {
	deadline := b.runner.Now() + changeTimeout
	retry := func(f func()) {
		if b.runner.Now() >= deadline {
			done(NotStored)
			return
		}
		f()
	}
	var try func()
	try = func() {
		var rest []Cordon
		for _, c := range b.All() {
			if c.Name != name {
				rest = append(rest, c)
			}
		}
		all, out := edit(rest)
		if out != Stored {
			b.refresh(func(moved, ok bool) { // the record known here may be outdated
				switch {
				case !ok:
					done(NotStored)
				case moved:
					retry(try)
				default:
					done(out)
				}
			})
			return
		}
		rec := record{Format: recordFormat, Cordons: all}
		b.client.Txn(store.Answers, wire.Txn{If: []wire.Cond{b.Cond()}, Then: []wire.Change{{Put: Key, Value: rec}}}, func(r store.Result) {
			switch r.Outcome {
			case store.Applied:
				b.mirror.Apply(Key, wire.Marshal(rec), r.Revision, false)
				done(Stored)
			case store.Conflict:
				b.refresh(func(_, ok bool) {
					if !ok {
						done(NotStored)
						return
					}
					retry(try)
				})
			case store.Refused, store.Invalid:
				done(NotStored)
			default:
				b.runner.After(120*eventloop.Millisecond, func() { retry(try) })
			}
		})
	}
	try()
}

// Refresh reads the record again, after a transaction has shown that the copy here is
// outdated.
func (r *Registry) Refresh() { r.refresh(func(bool, bool) {}) }

func (r *Registry) refresh(done func(moved, ok bool)) {
	r.client.Get(store.Answers, Key, func(it wire.KeyValue, found, ok bool) {
		before := r.revision
		if ok && found {
			r.mirror.Apply(it.Key, it.Value, it.Revision, false)
		}
		done(r.revision != before, ok)
	})
}
