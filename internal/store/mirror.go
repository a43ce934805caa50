package store

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/wire"
)

// Entry is a mirrored key. A Revision of 0 stands for an absent key.
type Entry struct {
	Value    wire.Raw
	Revision uint64
	removed  bool // the key was removed; the entry only keeps the revision
}

// MirrorState is the state of a mirror.
type MirrorState int

// The states of a mirror.
const (
	MirrorEmpty    MirrorState = iota // nothing has been read yet
	MirrorReading                     // the keys are being read
	MirrorWatching                    // the keys were read and are followed by watches
)

// Mirror is a copy of all keys under one prefix, kept up to date by watches. It may lag behind; a caller that
// needs certainty adds conditions to a transaction.
type Mirror struct {
	client        *Client
	watchDoer     Doer
	prefix        string
	state         MirrorState
	storeRevision uint64 // store revision up to which every change has been applied
	loaded        bool   // the keys were read at least once
	failedReads   int    // scans in a row that failed
	entries       map[string]Entry
	removals      []removal // of entries, in the order in which they were applied
	subs          []subscription
	ready         []func()
	rand          *rand.Rand
	// WatchWait is for how long a watch stays open without changes.
	WatchWait     eventloop.Micros
	synced        []func(Synced)
	scanning      bool             // a scan of all keys is in flight
	watchSlack    eventloop.Micros // time beyond WatchWait after which a watch counts as lost
	watchOpenedAt eventloop.Micros // monotonic time at which the newest watch was opened
}

// Synced says that the copy holds everything that the state service held when a request was made.
type Synced struct {
	SentAt   eventloop.Micros // monotonic time at which the request was made
	Request  Sequence         // the request's sequence number
	Revision uint64           // the store revision up to which every change has been applied
}

const (
	// minWatchPause is the least time between the answer of a watch and the next watch, in which changes are
	// collected. watchShare is the part of this controller's requests that watches may take: each counts as a
	// request, and with many controllers they would leave none for anything else. A watch is not delayed by
	// more than maxWatchPause on that account, since jobs that others store and cancel must become known here.
	minWatchPause = 60 * eventloop.Millisecond
	maxWatchPause = 500 * eventloop.Millisecond
	watchShare    = 0.3
)

// watchPause returns the time from the answer of a watch until the next watch is opened.
func (m *Mirror) watchPause() eventloop.Micros {
	apart := eventloop.Micros(1e6 / (m.client.requestTokens.rate * watchShare))
	return max(minWatchPause, min(m.watchOpenedAt+apart-m.client.runner.Now(), maxWatchPause))
}

const (
	// A watch whose connection is dead is given up after WatchWait and a slack. The slack doubles with each
	// watch that gets no answer, so that a slow service is not asked in vain over and over.
	minWatchSlack = 3 * eventloop.Second
	maxWatchSlack = 24 * eventloop.Second
)

// removal is a removed key. Its revision is kept for a while, so that a late message about an earlier revision
// does not restore the key.
type removal struct {
	key      string
	revision uint64
}

// subscription is a subscription to the keys under a prefix.
type subscription struct {
	prefix string
	f      func(key string, e Entry)
}

// NewMirror makes an empty mirror; Start reads the keys and follows them.
func NewMirror(c *Client, watch Doer, prefix string) *Mirror {
	return &Mirror{client: c, watchDoer: watch, prefix: prefix, entries: map[string]Entry{}, WatchWait: 20 * eventloop.Second, watchSlack: minWatchSlack}
}

// OnChange calls f for every change of a key under the prefix. The entry of a removed key has a Revision of 0.
func (m *Mirror) OnChange(prefix string, f func(key string, e Entry)) {
	m.subs = append(m.subs, subscription{prefix, f})
}

// OnSynced calls f whenever an answer of the state service has been applied completely.
func (m *Mirror) OnSynced(f func(Synced)) { m.synced = append(m.synced, f) }

// OnReady calls f once the keys have been read for the first time.
func (m *Mirror) OnReady(f func()) { m.ready = append(m.ready, f) }

// Ready reports whether the keys have been read.
func (m *Mirror) Ready() bool { return m.loaded }

func (m *Mirror) setState(s MirrorState) { m.state = s }

// Get returns the newest known revision of a key.
func (m *Mirror) Get(key string) (Entry, bool) {
	e, ok := m.entries[key]
	if !ok || e.removed {
		return Entry{}, false
	}
	return e, true
}

// KeysUnder returns the known keys under a prefix, sorted.
func (m *Mirror) KeysUnder(prefix string) []string {
	var keys []string
	for k, e := range m.entries {
		if !e.removed && strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// Apply applies a revision of a key, received from any source; revisions not newer than the known one are ignored.
func (m *Mirror) Apply(key string, value wire.Raw, revision uint64, removed bool) {
	old, known := m.entries[key]
	if known && old.Revision >= revision {
		return
	}
	e := Entry{Value: value, Revision: revision, removed: removed}
	m.entries[key] = e
	if removed {
		m.removals = append(m.removals, removal{key, revision})
	}
	if removed && (!known || old.removed) {
		return
	}
	if removed {
		e = Entry{}
	}
	for _, s := range m.subs {
		if strings.HasPrefix(key, s.prefix) {
			s.f(key, e)
		}
	}
}

// Start reads all keys, and follows their changes from then on.
func (m *Mirror) Start() {
	m.rand = eventloop.Rand(m.client.runner)
	m.read()
}

// read reads all keys, repeatedly until that succeeds, and then follows their changes.
func (m *Mirror) read() {
	m.setState(MirrorReading)
	m.scan(func(ok bool) {
		if !ok {
			// The delay is random, so that controllers that start together do not retry together.
			m.failedReads = min(m.failedReads+1, 4)
			wait := 200 * eventloop.Millisecond << m.failedReads
			m.client.log.Info("keys cannot be read from the state service; the read will be retried", "prefix", m.prefix, "again_in_us", wait)
			m.client.runner.After(wait/2+m.rand.Int64N(wait/2), m.read)
			return
		}
		m.failedReads = 0
		m.setState(MirrorWatching)
		m.openWatch()
	})
}

// scan reads all keys once; done is called with whether they were all applied. Only one scan is in flight at a time.
func (m *Mirror) scan(done func(ok bool)) {
	if m.scanning {
		m.client.runner.Post(func() { done(false) })
		return
	}
	m.scanning = true
	sent, request := m.client.runner.Now(), m.client.NextSequence()
	m.client.Scan(Answers, m.prefix, func(items []wire.KeyValue, storeRevision uint64, ok bool) {
		m.scanning = false
		if !ok {
			done(false)
			return
		}
		m.replace(items, storeRevision)
		// An empty store has revision 0. It must not be taken for 1: the first change of all, at revision 1,
		// would then be missed by every controller but the one that made it.
		first := !m.loaded
		m.loaded, m.storeRevision = true, max(m.storeRevision, storeRevision)
		m.notifySynced(sent, request)
		if first {
			for _, f := range m.ready {
				f()
			}
		}
		done(true)
	})
}

// replace applies the state of all keys at a revision or later; keys that are missing were removed.
func (m *Mirror) replace(items []wire.KeyValue, storeRevision uint64) {
	have := map[string]bool{}
	for _, it := range items {
		have[it.Key] = true
		m.Apply(it.Key, it.Value, it.Revision, false)
	}
	var missing []string // usually few, so sorting these is cheaper than sorting all keys
	for k, e := range m.entries {
		if !have[k] && !e.removed && e.Revision <= storeRevision {
			missing = append(missing, k)
		}
	}
	sort.Strings(missing)
	for _, k := range missing {
		m.Apply(k, nil, storeRevision, true) // removed since the last read
	}
}

// changesPath returns the path of a watch for the changes that are not known here yet.
func (m *Mirror) changesPath(wait eventloop.Micros) string {
	return "/changes?under=" + m.prefix + "&since=" + strconv.FormatUint(m.storeRevision, 10) + "&waitMs=" + strconv.FormatInt(wait/eventloop.Millisecond, 10)
}

// Sync brings the copy up to date with what the state service holds now, by a watch that does not wait. The
// functions set by OnSynced are called before done. done receives Applied, Refused (the state service certainly
// did not answer the read) or Unknown.
func (m *Mirror) Sync(class Class, done func(Outcome)) {
	sent, request := m.client.runner.Now(), m.client.NextSequence()
	m.client.Send(class, 0, "GET", m.changesPath(0), nil, m.client.timeout(), func(resp Response) {
		m.client.recordAnswer(resp)
		var events wire.Events
		switch {
		case certainlyNotExecuted(resp):
			done(Refused)
		case resp.Err == nil && resp.Status == 410:
			m.scan(func(ok bool) { done(map[bool]Outcome{true: Applied, false: Unknown}[ok]) })
		case resp.Err != nil || resp.Status != 200 || wire.Unmarshal(resp.Body, &events) != nil:
			done(Unknown)
		default:
			m.applyEvents(&events)
			m.notifySynced(sent, request)
			done(Applied)
		}
	})
}

// openWatch opens the next watch. It takes a request from the limits without waiting for it.
func (m *Mirror) openWatch() {
	now := m.client.runner.Now()
	m.watchOpenedAt = now
	m.client.requestTokens.tokens--
	path, request := m.changesPath(m.WatchWait), m.client.NextSequence()
	timeout := eventloop.Duration(m.WatchWait + m.watchSlack)
	m.client.runner.Go(func() {
		resp := m.watchDoer.Do("GET", path, nil, timeout)
		m.client.runner.Post(func() { m.handleWatch(now, request, resp) })
	})
}

// handleWatch handles the answer of a watch and schedules the next one.
func (m *Mirror) handleWatch(sent eventloop.Micros, request Sequence, resp Response) {
	if resp.Err == nil && resp.Status == 410 {
		m.read()
		return
	}
	var ev wire.Events
	if resp.Err != nil || resp.Status != 200 || wire.Unmarshal(resp.Body, &ev) != nil {
		m.client.recordContact(sent, resp)
		if resp.Err != nil {
			m.watchSlack = min(2*m.watchSlack, maxWatchSlack)
		}
		m.client.runner.After(200*eventloop.Millisecond, m.openWatch)
		return
	}
	m.watchSlack = minWatchSlack
	m.applyEvents(&ev)
	m.notifySynced(sent, request)
	m.forgetRemovals()
	m.client.runner.After(m.watchPause(), m.openWatch)
}

// applyEvents applies the changes in an answer of the state service.
func (m *Mirror) applyEvents(events *wire.Events) {
	for _, e := range events.Events {
		if e.Put != "" {
			m.Apply(e.Put, e.Value, e.Revision, false)
		} else if e.Delete != "" {
			m.Apply(e.Delete, nil, e.Revision, true)
		}
	}
	m.storeRevision = max(m.storeRevision, events.StoreRevision)
}

// keptRemovalRevisions is the number of store revisions for which the revision of a removed key is kept.
const keptRemovalRevisions = 5000

// forgetRemovals drops the revisions of keys that were removed long ago.
func (m *Mirror) forgetRemovals() {
	for len(m.removals) > 0 && m.removals[0].revision+keptRemovalRevisions < m.storeRevision {
		if x := m.removals[0]; m.entries[x.key].removed && m.entries[x.key].Revision == x.revision {
			delete(m.entries, x.key)
		}
		m.removals = m.removals[1:]
	}
}

// notifySynced calls the functions set by OnSynced.
func (m *Mirror) notifySynced(sent eventloop.Micros, request Sequence) {
	for _, f := range m.synced {
		f(Synced{SentAt: sent, Request: request, Revision: m.storeRevision})
	}
}
