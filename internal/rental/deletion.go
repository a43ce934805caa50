package rental

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"cleatpick/internal/loop"
	"cleatpick/internal/member"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// mostDeleted is how many machines one call may delete.
const mostDeleted = 100

// deleteSome has the machines deleted that have waited longest; what is lost goes first.
func (t *Rental) deleteSome() {
	first := func(m *machine) int {
		if m.lost {
			return 0
		}
		return 1
	}
	all := slices.SortedFunc(maps.Values(t.deleting), func(a, b *machine) int {
		return cmp.Or(cmp.Compare(first(a), first(b)), cmp.Compare(a.deleteAt, b.deleteAt), cmp.Compare(a.name, b.name))
	})
	var names []string
	for _, m := range all[:min(len(all), mostDeleted)] {
		names = append(names, m.name)
	}
	// Only who leads now may delete; the cloud cannot tell.
	t.calling = true
	t.c.Txn(store.Placements, wire.Txn{If: []wire.Cond{member.LeaderCond(t.claim)}}, func(r store.Result) {
		t.calling = false
		if r.Outcome == store.Applied && t.leads {
			t.delete(names)
		}
	})
}

func (t *Rental) delete(names []string) {
	t.call("POST", "/machines/delete", wire.Names{Machines: names}, 4*loop.Second, func(resp store.Response) {
		if resp.Err != nil || resp.Status != 200 {
			return // asked again: deleting what is gone does no harm
		}
		// The answer is the proof that the machines and all that was on them are
		// gone. It is recorded, so that every owner learns of it.
		t.seq++
		ch := wire.Change{Put: fmt.Sprintf("%s%d-%d", GoneKeys, t.claim.Epoch, t.seq), Value: GoneRecord{names, t.r.Wall()}}
		for _, name := range names {
			// What it took of the cloud is there again: a refusal from before says nothing of now.
			if m := t.machines[name]; m != nil {
				if b := t.offers[offer{m.typ, m.zone, m.spot}]; b != nil {
					b.until = 0
				}
			}
			t.gone(name)
		}
		t.record(ch, 0)
	})
}

func (t *Rental) record(ch wire.Change, tries int) {
	t.c.Txn(store.Placements, wire.Txn{Then: []wire.Change{ch}}, func(r store.Result) {
		if r.Outcome != store.Applied && r.Outcome != store.Invalid && tries < 200 {
			t.r.After(300*loop.Millisecond, func() { t.record(ch, tries+1) })
		}
	})
}

// keepGone is how long deletions stay on record. An owner that meets a task on a machine
// whose record is gone calls it suspect, and the leader proves it deleted again.
const keepGone = 30 * 60 * loop.Second

// sweep removes records of deletions that are long over.
func (t *Rental) sweep() {
	if !t.leads || !t.n.Entitled() {
		return
	}
	txn := wire.Txn{If: []wire.Cond{member.LeaderCond(t.claim)}}
	for _, key := range t.m.KeysUnder(GoneKeys) {
		var rec GoneRecord
		if e, ok := t.m.Get(key); ok && wire.Unmarshal(e.Value, &rec) == nil && t.r.Wall()-rec.At > keepGone &&
			len(txn.Then) < t.c.MaxChanges() {
			txn.Then = append(txn.Then, wire.Change{Delete: key})
		}
	}
	if len(txn.Then) == 0 {
		return
	}
	t.c.Txn(store.Background, txn, func(r store.Result) {
		if r.Outcome == store.Applied {
			for _, ch := range txn.Then {
				t.m.Apply(ch.Delete, nil, r.Revision, true)
			}
		}
	})
}

func (t *Rental) gone(name string) {
	if m := t.machines[name]; m != nil {
		t.setState(m, Gone, m.why)
		delete(t.machines, name)
		t.byOrder = nil
		t.losses.Forget(name)
	}
	if !t.agent.IsDeleted(name) {
		t.agent.MarkDeleted(name)
		if t.OnGone != nil {
			t.OnGone(name)
		}
	}
}
