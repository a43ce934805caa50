package job

import (
	"io"
	"log/slog"
	"testing"

	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// A cancellation reported by a peer takes effect at once, persists when older revisions of the job's record
// arrive, and is replaced by the record of its own revision. A job that is not known here otherwise becomes
// final, too.
func TestCancellationReportedByPeer(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c := store.NewClient(frozenLoop{}, frozenLoop{}, log, 100, 100, 1)
	m := store.NewMirror(c, frozenLoop{}, "c/")
	registry := NewRegistry(frozenLoop{}, c, m, log)
	cancelledAt := map[string]uint64{}
	registry.OnJob = func(j *Job) {
		if j.Phase == Cancelled {
			cancelledAt[j.ID] = j.CancelledRevision()
		}
	}
	spec := &Spec{Team: "red", Tasks: 3, CPUs: 1}
	record := func(id string, p Phase, revision uint64) {
		m.Apply(KeyPrefix+id, wire.Marshal(Record{Phase: p, Spec: spec}), revision, false)
	}
	expectAnswer := func(id string, want Phase) {
		t.Helper()
		got := Answer{}
		registry.Poll(id, func(a Answer) { got = a })
		if got.Code != 200 || got.Phase != want {
			t.Errorf("a poll for %s is answered %d %q, want 200 %q", id, got.Code, got.Phase, want)
		}
	}
	record("job-000001", Accepted, 5)
	for _, id := range []string{"job-000001", "job-000002"} {
		if !registry.ApplyPeerCancellation(id, 9) || cancelledAt[id] != 9 {
			t.Errorf("the cancellation of %s is not applied: OnJob was called with revision %d", id, cancelledAt[id])
		}
		expectAnswer(id, Cancelled)
		record(id, Accepted, 7) // an amendment from before the cancellation that arrives late
		expectAnswer(id, Cancelled)
		if j := registry.Get(id); j.Spec == nil || !j.Final() || j.CancelledRevision() != 9 || registry.peerOnly == 0 {
			t.Errorf("%s after an older revision arrived: %+v", id, j)
		}
		record(id, Cancelled, 9)
		expectAnswer(id, Cancelled)
		if j := registry.Get(id); j.PeerRevision != 0 || j.Revision != 9 || !registry.ApplyPeerCancellation(id, 9) {
			t.Errorf("%s after the record of its cancellation arrived: %+v", id, j)
		}
	}
	record("job-000003", Done, 6)
	record("job-000004", Accepted, 12)
	for _, x := range []struct {
		id       string
		revision uint64
	}{{"job-000003", 9}, {"job-000004", 9}, {"nonsense", 9}, {"job-000005", 0}} {
		if registry.ApplyPeerCancellation(x.id, x.revision) {
			t.Errorf("a cancellation of %s at revision %d is applied", x.id, x.revision)
		}
	}
	expectAnswer("job-000003", Done)
	if j := registry.Get("job-000004"); registry.peerOnly != 0 || j.Final() || registry.Get("job-000005") != nil {
		t.Errorf("%d jobs are known as cancelled only from a peer, want none; job-000004 is %+v", registry.peerOnly, j)
	}
}
