// Package cordon keeps the operators' cordons: which machines take no new starts, by
// name, type, zone or kind. All stand in one record, whose version is a condition of
// every start that is recorded anywhere: once a cordon is stored, no owner records a
// start that it forbids, whether it has heard of the cordon or not.
package cordon

import (
	"log/slog"
	"slices"
	"strings"

	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// Key holds the record of all cordons.
const Key = "c/cordons"

// Bounds on what operators may ask for.
const (
	Most    = 100 // cordons at a time
	MaxText = 200 // bytes of a reason
	MaxName = 64
)

const format = 1

// The kinds of machines.
const (
	Spot     = "spot"
	Ordinary = "ordinary"
)

// Cordon keeps starts off all machines that match every selector that is not empty.
type Cordon struct {
	Name    string `cbor:"n"`
	Machine string `cbor:"m,omitempty"`
	Type    string `cbor:"t,omitempty"`
	Zone    string `cbor:"z,omitempty"`
	Kind    string `cbor:"k,omitempty"`
	Reason  string `cbor:"r"`
	By      string `cbor:"b,omitempty"`
	At      int64  `cbor:"a"`           // time of day
	Until   int64  `cbor:"u,omitempty"` // time of day at which it ends by itself; 0: never
}

// ValidName tells whether a cordon may have this name.
func ValidName(s string) bool {
	for _, c := range s {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return s != "" && len(s) <= MaxName
}

// Place names where a task might go. Machine is empty for one that is not rented yet.
type Place struct {
	Machine, Type, Zone string
	Spot                bool
}

// Bars tells whether the cordon keeps starts off the place.
func (c *Cordon) Bars(p Place) bool {
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

// Outcome says what became of a change.
type Outcome int

// The outcomes of a change.
const (
	Stored   Outcome = iota
	Unstored         // the state service did not take it: ask again
	TooMany          // Most are in force already
	Absent           // there is none of that name
)

// Book holds the cordons as known here.
type Book struct {
	r       loop.Runner
	c       *store.Client
	m       *store.Mirror
	log     *slog.Logger
	off     loop.Micros // twice the bound on the time of day
	mark    uint64
	all     []Cordon
	damaged bool
	version uint64
}

// NewBook makes the book; clockTo is twice the bound on the time of day.
func NewBook(r loop.Runner, c *store.Client, m *store.Mirror, log *slog.Logger, clockTo loop.Micros) *Book {
	b := &Book{r: r, c: c, m: m, log: log, off: clockTo, version: 1}
	m.OnChange(Key, b.learn)
	return b
}

func (b *Book) learn(key string, e store.Entry) {
	if key != Key {
		return
	}
	var rec record
	b.mark, b.damaged = e.Revision, false
	if e.Revision != 0 {
		if err := wire.Unmarshal(e.Value, &rec); err != nil || rec.Format != format {
			// What was last read stays in force here; the next change replaces the record.
			b.log.Error("corrupt record set aside", "key", key, "format", rec.Format, "err", err)
			b.damaged = true
			return
		}
	}
	b.setCordons(rec.Cordons)
}

// setCordons is the one place where the cordons in force change.
func (b *Book) setCordons(all []Cordon) {
	b.all = all
	b.version++
	version := b.version
	if next := b.nextEnd(); next != 0 {
		b.r.After(max(next+b.off-b.r.Wall(), 0)+loop.Millisecond, func() {
			if version == b.version {
				b.setCordons(b.all)
			}
		})
	}
}

// ended tells whether a cordon is over by every clock.
func (b *Book) ended(c *Cordon) bool { return c.Until != 0 && b.r.Wall() >= c.Until+b.off }

func (b *Book) nextEnd() (next int64) {
	for i := range b.all {
		if c := &b.all[i]; c.Until != 0 && !b.ended(c) && (next == 0 || c.Until < next) {
			next = c.Until
		}
	}
	return next
}

// Version rises whenever the cordons in force may have changed.
func (b *Book) Version() uint64 { return b.version }

// Any tells whether any cordon may be in force.
func (b *Book) Any() bool { return len(b.all) > 0 }

// Cond is the condition that no cordon has changed since.
func (b *Book) Cond() wire.Cond { return wire.Cond{Key: Key, Mark: b.mark} }

// Damaged tells whether the stored record cannot be read.
func (b *Book) Damaged() bool { return b.damaged }

// Barred tells whether any cordon keeps starts off the place.
func (b *Book) Barred(p Place) bool {
	for i := range b.all {
		if c := &b.all[i]; c.Bars(p) && !b.ended(c) {
			return true
		}
	}
	return false
}

// Barring names the cordons that keep starts off the place.
func (b *Book) Barring(p Place) (names []string) {
	for i := range b.all {
		if c := &b.all[i]; c.Bars(p) && !b.ended(c) {
			names = append(names, c.Name)
		}
	}
	return names
}

// All lists the cordons in force by name.
func (b *Book) All() []Cordon {
	var out []Cordon
	for i := range b.all {
		if !b.ended(&b.all[i]) {
			out = append(out, b.all[i])
		}
	}
	slices.SortFunc(out, func(x, y Cordon) int { return strings.Compare(x.Name, y.Name) })
	return out
}

// Put stores a cordon under its name, in the place of an earlier one.
func (b *Book) Put(c Cordon, cb func(Outcome)) {
	c.At = b.r.Wall()
	b.change(func(all []Cordon) ([]Cordon, Outcome) {
		if len(all) >= Most {
			return nil, TooMany
		}
		return append(all, c), Stored
	}, c.Name, cb)
}

// Remove ends a cordon.
func (b *Book) Remove(name string, cb func(Outcome)) {
	b.change(func(all []Cordon) ([]Cordon, Outcome) {
		for i := range b.all {
			if b.all[i].Name == name {
				return all, Stored
			}
		}
		return nil, Absent
	}, name, cb)
}

const patience = 1500 * loop.Millisecond

// change replaces the record on the version that is known, and tries again from the
// newer one when that has moved. edit gets what is in force, but for the name.
func (b *Book) change(edit func([]Cordon) ([]Cordon, Outcome), name string, cb func(Outcome)) {
	dead := b.r.Now() + patience
	again := func(f func()) {
		if b.r.Now() >= dead {
			cb(Unstored)
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
			b.refresh(func(moved, ok bool) { // what is known here may be old
				switch {
				case !ok:
					cb(Unstored)
				case moved:
					again(try)
				default:
					cb(out)
				}
			})
			return
		}
		rec := record{Format: format, Cordons: all}
		b.c.Txn(store.Answers, wire.Txn{If: []wire.Cond{b.Cond()}, Then: []wire.Change{{Put: Key, Value: rec}}}, func(r store.Result) {
			switch r.Outcome {
			case store.Applied:
				b.m.Apply(Key, wire.Marshal(rec), r.Revision, false)
				cb(Stored)
			case store.Conflict:
				b.refresh(func(_, ok bool) {
					if !ok {
						cb(Unstored)
						return
					}
					again(try)
				})
			case store.Refused, store.Invalid:
				cb(Unstored)
			default:
				b.r.After(120*loop.Millisecond, func() { again(try) })
			}
		})
	}
	try()
}

// Refresh reads the record again after a transaction showed that the copy here is old.
func (b *Book) Refresh() { b.refresh(func(bool, bool) {}) }

func (b *Book) refresh(cb func(moved, ok bool)) {
	b.c.Get(store.Answers, Key, func(it wire.Item, found, ok bool) {
		before := b.mark
		if ok && found {
			b.m.Apply(it.Key, it.Value, it.Mark, false)
		}
		cb(b.mark != before, ok)
	})
}
