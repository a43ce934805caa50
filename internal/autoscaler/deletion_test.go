package autoscaler

import (
	"bytes"
	"slices"
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// recordedDeletions lists the machines whose deletion is recorded in the state service.
func (g *rig) recordedDeletions(t *testing.T) (names []string) {
	t.Helper()
	for _, key := range g.state.Keys(DeletionKeys) {
		raw, _ := g.state.Value(key)
		var rec DeletionRecord
		if err := wire.Unmarshal(raw, &rec); err != nil {
			t.Fatalf("deletion %s: %v", key, err)
		}
		names = append(names, rec.Machines...)
	}
	return names
}

// Guards against tasks of a deleted machine that never run elsewhere: the record of the deletion, by which the other
// controllers learn of it, was given up if the state service failed for more than a minute.
func TestDeletionIsRecordedAfterOutage(t *testing.T) {
	for _, outage := range []eventloop.Micros{30 * eventloop.Second, 90 * eventloop.Second, 600 * eventloop.Second} {
		g := newRig(t, 4)
		g.Advance(3 * eventloop.Second)
		g.report("n-900000", "x")
		down := false
		g.onState = func(_, path string, body []byte) *store.Response {
			if down = down || path == "/multi" && bytes.Contains(body, []byte(DeletionKeys)); down {
				return &store.Response{Status: 503}
			}
			return nil
		}
		for range 60 {
			g.report("n-900001", "x") // another machine of the zone is alive
			g.Advance(500 * eventloop.Millisecond)
		}
		if !down {
			t.Fatal("no deletion was to be recorded")
		}
		g.Advance(outage)
		g.onState = nil
		g.Advance(10 * eventloop.Second)
		if !slices.Contains(g.recordedDeletions(t), "n-900000") {
			t.Errorf("the deletion is not recorded 10 s after an outage of more than %d s", outage/eventloop.Second)
		}
	}
}
