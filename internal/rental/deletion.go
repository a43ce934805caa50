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

// maxDeletionsPerCall is the number of machines that one call may delete.
const maxDeletionsPerCall = 100

// deleteNext requests the deletion of the machines that have waited longest, failed ones first.
func (t *Autoscaler) deleteNext() {
	first := func(m *machine) int {
		if m.failed {
			return 0
		}
		return 1
	}
	all := slices.SortedFunc(maps.Values(t.deleting), func(a, b *machine) int {
		return cmp.Or(cmp.Compare(first(a), first(b)), cmp.Compare(a.deleteAt, b.deleteAt), cmp.Compare(a.name, b.name))
	})
	var names []string
	for _, m := range all[:min(len(all), maxDeletionsPerCall)] {
		names = append(names, m.name)
	}
	// Only the current leader may delete, which the cloud cannot check: the transaction confirms it first.
	t.calling = true
	t.client.Txn(store.Placements, wire.Txn{If: []wire.Cond{member.LeaderCond(t.claim)}}, func(r store.Result) {
		t.calling = false
		if r.Outcome == store.Applied && t.leads {
			t.delete(names)
		}
	})
}

// delete asks the cloud to delete machines, and records the confirmed deletion.
func (t *Autoscaler) delete(names []string) {
	t.call("POST", "/machines/delete", wire.MachineNames{Machines: names}, 4*loop.Second, func(resp store.Response) {
		if resp.Err != nil || resp.Status != 200 {
			return // retried later: deleting a deleted machine has no effect
		}
		// The answer confirms that the machines and all tasks on them are terminated. It is recorded, so that
		// every owner receives it.
		t.seq++
		ch := wire.Change{Put: fmt.Sprintf("%s%d-%d", DeletionKeys, t.claim.Epoch, t.seq), Value: DeletionRecord{names, t.runner.Wall()}}
		for _, name := range names {
			// Its capacity is available in the cloud again, so an earlier refusal no longer holds.
			if m := t.machines[name]; m != nil {
				if b := t.offers[offer{m.typ, m.zone, m.spot}]; b != nil {
					b.until = 0
				}
			}
			t.markDeleted(name)
		}
		t.recordDeletion(ch, 0)
	})
}

// recordDeletion stores the record of a deletion, retrying until the state service has applied it.
func (t *Autoscaler) recordDeletion(ch wire.Change, tries int) {
	t.client.Txn(store.Placements, wire.Txn{Then: []wire.Change{ch}}, func(r store.Result) {
		if r.Outcome != store.Applied && r.Outcome != store.Invalid && tries < 200 {
			t.runner.After(300*loop.Millisecond, func() { t.recordDeletion(ch, tries+1) })
		}
	})
}

// deletionRetention is how long records of deletions are kept. An owner that finds a task on a machine whose
// record has been removed reports the machine as suspect, and the leader has its deletion confirmed again.
const deletionRetention = 30 * 60 * loop.Second

// removeOldDeletions removes records of deletions that are older than deletionRetention.
func (t *Autoscaler) removeOldDeletions() {
	if !t.leads || !t.deps.LeaseValid() {
		return
	}
	txn := wire.Txn{If: []wire.Cond{member.LeaderCond(t.claim)}}
	for _, key := range t.mirror.KeysUnder(DeletionKeys) {
		var rec DeletionRecord
		if e, ok := t.mirror.Get(key); ok && wire.Unmarshal(e.Value, &rec) == nil && t.runner.Wall()-rec.At > deletionRetention &&
			len(txn.Then) < t.client.MaxChanges() {
			txn.Then = append(txn.Then, wire.Change{Delete: key})
		}
	}
	if len(txn.Then) == 0 {
		return
	}
	t.client.Txn(store.Background, txn, func(r store.Result) {
		if r.Outcome == store.Applied {
			for _, ch := range txn.Then {
				t.mirror.Apply(ch.Delete, nil, r.Revision, true)
			}
		}
	})
}

// markDeleted forgets a machine that is known to be deleted, and notifies the workers' registry and OnDeleted
// once.
func (t *Autoscaler) markDeleted(name string) {
	if m := t.machines[name]; m != nil {
		t.setState(m, Deleted, m.why)
		delete(t.machines, name)
		t.sortedMachines = nil
		t.failures.Forget(name)
	}
	if !t.workers.IsDeleted(name) {
		t.workers.MarkDeleted(name)
		if t.OnDeleted != nil {
			t.OnDeleted(name)
		}
	}
}
