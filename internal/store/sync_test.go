package store

import (
	"io"
	"log/slog"
	"strings"
	"testing"

	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// Sync applies all changes before it calls the functions of OnSynced, reports the sequence number of its
// request, reads all keys if the changes are no longer kept by the service, and reports nothing without an
// answer.
func TestSync(t *testing.T) {
	changes := wire.Events{StoreRevision: 9, Events: []wire.Event{{Put: "c/a", Value: wire.Marshal(1), Revision: 8}, {Delete: "c/b", Revision: 9}}}
	keys := wire.Range{StoreRevision: 30, Items: []wire.KeyValue{{Key: "c/a", Value: wire.Marshal(2), Revision: 20}}}
	for _, c := range []struct {
		name          string
		changes       Response
		keys          Response
		want          Outcome
		storeRevision uint64 // revision that is reported; 0: nothing is
		revision      uint64 // revision of c/a afterwards
	}{
		{"changes", Response{Status: 200, Body: wire.Marshal(changes)}, Response{}, Applied, 9, 8},
		{"changes no longer kept", Response{Status: 410}, Response{Status: 200, Body: wire.Marshal(keys)}, Applied, 30, 20},
		{"neither", Response{Status: 410}, Response{Status: 503}, Unknown, 0, 3},
		{"status 503", Response{Status: 503}, Response{}, Refused, 0, 3},
		{"status 429", Response{Status: 429}, Response{}, Refused, 0, 3},
		{"no answer", Response{Err: io.EOF}, Response{}, Unknown, 0, 3},
		{"an undecodable answer", Response{Status: 200, Body: []byte{0xff}}, Response{}, Unknown, 0, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &manualLoop{now: 100 * loop.Second}
			var path string
			l := &slowService{r: r, takes: loop.Second, resp: func(p string) Response {
				if strings.HasPrefix(p, "/changes") {
					path = p
					return c.changes
				}
				return c.keys
			}}
			client := NewClient(r, l, slog.New(slog.DiscardHandler), 100, 100, 1)
			m := NewMirror(client, l, "c/")
			m.Apply("c/a", wire.Marshal(0), 3, false)
			m.Apply("c/b", wire.Marshal(0), 4, false)
			m.storeRevision = 4
			var reported []Synced
			m.OnSynced(func(s Synced) {
				if e, _ := m.Get("c/a"); e.Revision != c.revision {
					t.Errorf("OnSynced was called before the changes were applied: c/a is %+v", e)
				}
				reported = append(reported, s)
			})
			before := client.NextSequence()
			outcome := Outcome(-1)
			m.Sync(Inquiries, func(o Outcome) { outcome = o })
			after := client.NextSequence()
			if outcome != c.want || path != "/changes?under=c/&since=4&waitMs=0" {
				t.Errorf("the outcome is %v after a request for %q", outcome, path)
			}
			if e, _ := m.Get("c/a"); e.Revision != c.revision {
				t.Errorf("the copy holds c/a as %+v", e)
			}
			if _, there := m.Get("c/b"); there != (c.storeRevision == 0) {
				t.Errorf("the removed key c/b is in the copy: %v", there)
			}
			if c.storeRevision == 0 {
				if len(reported) != 0 {
					t.Errorf("OnSynced was called with %+v, want no call", reported)
				}
				return
			}
			if len(reported) != 1 || reported[0].Revision != c.storeRevision || reported[0].Request <= before || reported[0].Request >= after || reported[0].SentAt > r.now-loop.Second {
				t.Errorf("OnSynced was called with %+v, want one call with a request number between %d and %d", reported, before, after)
			}
		})
	}
}
