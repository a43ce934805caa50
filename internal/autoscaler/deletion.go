package autoscaler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/membership"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// maxDeletionsPerCall is the number of machines that one call may delete.
const maxDeletionsPerCall = 100

// deleteNext requests the deletion of the machines that have waited longest, failed ones first.
func (a *Autoscaler) deleteNext() {
	first := func(m *machine) int {
		if m.failed {
			return 0
		}
		return 1
	}
	all := slices.SortedFunc(maps.Values(a.deleting), func(x, y *machine) int {
		return cmp.Or(cmp.Compare(first(x), first(y)), cmp.Compare(x.deleteAt, y.deleteAt), cmp.Compare(x.name, y.name))
	})
	var names []string
	for _, m := range all[:min(len(all), maxDeletionsPerCall)] {
		names = append(names, m.name)
	}
	// Only the current leader may delete, which the cloud cannot check: the transaction confirms it first.
	a.calling = true
	a.client.Txn(store.Placements, wire.Txn{If: []wire.Cond{membership.LeaderCond(a.claim)}}, func(r store.Result) {
		a.calling = false
		if r.Outcome == store.Applied && a.leads {
			a.delete(names)
		}
	})
}

// delete asks the cloud to delete machines, and records the confirmed deletion.
func (a *Autoscaler) delete(names []string) {
	a.call("POST", "/machines/delete", wire.MachineNames{Machines: names}, 4*eventloop.Second, func(resp store.Response) {
		if resp.Err != nil || resp.Status != 200 {
			return // retried later: deleting a deleted machine has no effect
		}
		// The answer confirms that the machines and all tasks on them are terminated. It is recorded, so that
		// every owner receives it.
		a.seq++
		ch := wire.Change{Put: fmt.Sprintf("%s%d-%d", DeletionKeys, a.claim.Epoch, a.seq), Value: DeletionRecord{names, a.runner.Wall()}}
		for _, name := range names {
			// Its capacity is available in the cloud again, so an earlier refusal no longer holds.
			if m := a.machines[name]; m != nil {
				if b := a.offers[offer{m.typ, m.zone, m.spot}]; b != nil {
					b.until = 0
				}
			}
			a.markDeleted(name)
		}
		a.recordDeletion(ch)
	})
}

// deletionRetryDelay is the pause before the record of a deletion is sent again.
const deletionRetryDelay = 300 * eventloop.Millisecond

// recordDeletion stores the record of a deletion, retrying until the state service has applied it, however long that
// takes and whoever leads by then: the deletion is certain, and nothing else tells the other controllers of it.
func (a *Autoscaler) recordDeletion(ch wire.Change) {
	a.client.Txn(store.Placements, wire.Txn{Then: []wire.Change{ch}}, func(r store.Result) {
		switch r.Outcome {
		case store.Applied:
		case store.Invalid:
			a.log.Error("state service refuses the record of deleted machines as invalid; the owners of their tasks do not learn that the tasks are terminated", "key", ch.Put)
		default:
			a.runner.After(deletionRetryDelay, func() { a.recordDeletion(ch) })
		}
	})
}

// deletionRetention is how long records of deletions are kept. An owner that finds a task on a machine whose
// record has been removed reports the machine as suspect, and the leader has its deletion confirmed again.
const deletionRetention = 30 * 60 * eventloop.Second

// removeOldDeletions removes records of deletions that are older than deletionRetention.
func (a *Autoscaler) removeOldDeletions() {
	if !a.leads || !a.deps.LeaseValid() {
		return
	}
	txn := wire.Txn{If: []wire.Cond{membership.LeaderCond(a.claim)}}
	for _, key := range a.mirror.KeysUnder(DeletionKeys) {
		var rec DeletionRecord
		if e, ok := a.mirror.Get(key); ok && wire.Unmarshal(e.Value, &rec) == nil && a.runner.Wall()-rec.At > deletionRetention &&
			len(txn.Then) < a.client.MaxChanges() {
			txn.Then = append(txn.Then, wire.Change{Delete: key})
		}
	}
	if len(txn.Then) == 0 {
		return
	}
	a.client.Txn(store.Background, txn, func(r store.Result) {
		if r.Outcome == store.Applied {
			for _, ch := range txn.Then {
				a.mirror.Apply(ch.Delete, nil, r.Revision, true)
			}
		}
	})
}

// markDeleted forgets a machine that is known to be deleted, and notifies the workers' registry and OnDeleted
// once.
func (a *Autoscaler) markDeleted(name string) {
	if m := a.machines[name]; m != nil {
		a.setState(m, Deleted, m.why)
		delete(a.machines, name)
		a.sortedMachines = nil
		a.failures.Forget(name)
	}
	if !a.workers.IsDeleted(name) {
		a.workers.MarkDeleted(name)
		if a.OnDeleted != nil {
			a.OnDeleted(name)
		}
	}
}
