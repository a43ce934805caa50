package store

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"

	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// Entry is a mirrored key. A Mark of 0 stands for an absent key.
type Entry struct {
	Value wire.Raw
	Mark  uint64
	gone  bool // removed; the entry only keeps the revision
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
	c       *Client
	watch   Doer
	prefix  string
	state   MirrorState
	since   uint64 // store revision up to which every change has been applied
	known   bool   // the keys were read at least once
	tries   int    // scans in a row that failed
	entries map[string]Entry
	removed []removal // of entries, in the order in which they were applied
	subs    []sub
	ready   []func()
	rand    *rand.Rand
	// Wait is for how long a watch stays open without changes.
	Wait     loop.Micros
	synced   []func(Synced)
	scanning bool        // a scan of all keys is in flight
	slack    loop.Micros // time beyond Wait after which a watch counts as lost
	opened   loop.Micros // monotonic time at which the newest watch was opened
}

// Synced says that the copy holds everything that the state service held when a request was made.
type Synced struct {
	Sent    loop.Micros // monotonic time at which the request was made
	Request Sequence    // the request's sequence number
	Reach   uint64      // the store revision up to which every change has been applied
}

const (
	// watchGather is the least time between the answer of a watch and the next watch, in which changes are
	// collected. watchPart is the part of this controller's requests that watches may take: each counts as a
	// request, and with many controllers they would leave none for anything else. A watch is not delayed by
	// more than watchMost on that account, since jobs that others store and cancel must become known here.
	watchGather = 60 * loop.Millisecond
	watchMost   = 500 * loop.Millisecond
	watchPart   = 0.3
)

// watchPause returns the time from the answer of a watch until the next watch is opened.
func (m *Mirror) watchPause() loop.Micros {
	apart := loop.Micros(1e6 / (m.c.reads.rate * watchPart))
	return max(watchGather, min(m.opened+apart-m.c.r.Now(), watchMost))
}

const (
	// A watch whose connection is dead is given up after its Wait and a slack. The slack doubles with each
	// watch that gets no answer, so that a slow service is not asked in vain over and over.
	leastSlack = 3 * loop.Second
	mostSlack  = 24 * loop.Second
)

// removal is a removed key. Its revision is kept for a while, so that a late message about an earlier revision
// does not restore the key.
type removal struct {
	key  string
	mark uint64
}

// sub is a subscription to the keys under a prefix.
type sub struct {
	prefix string
	f      func(key string, e Entry)
}

// NewMirror makes an empty mirror; Start reads the keys and follows them.
func NewMirror(c *Client, watch Doer, prefix string) *Mirror {
	return &Mirror{c: c, watch: watch, prefix: prefix, entries: map[string]Entry{}, Wait: 20 * loop.Second, slack: leastSlack}
}

// On calls f for every change of a key under the prefix. The entry of a removed key has a Mark of 0.
func (m *Mirror) On(prefix string, f func(key string, e Entry)) {
	m.subs = append(m.subs, sub{prefix, f})
}

// OnSynced calls f whenever an answer of the state service has been applied completely.
func (m *Mirror) OnSynced(f func(Synced)) { m.synced = append(m.synced, f) }

// OnReady calls f once the keys have been read for the first time.
func (m *Mirror) OnReady(f func()) { m.ready = append(m.ready, f) }

// Ready reports whether the keys have been read.
func (m *Mirror) Ready() bool { return m.known }

func (m *Mirror) setState(s MirrorState) { m.state = s }

// Get returns the newest known revision of a key.
func (m *Mirror) Get(key string) (Entry, bool) {
	e, ok := m.entries[key]
	if !ok || e.gone {
		return Entry{}, false
	}
	return e, true
}

// Under returns the known keys under a prefix, sorted.
func (m *Mirror) Under(prefix string) []string {
	var keys []string
	for k, e := range m.entries {
		if !e.gone && strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// Apply applies a revision of a key learnt from any source; revisions not newer than the known one are ignored.
func (m *Mirror) Apply(key string, value wire.Raw, mark uint64, removed bool) {
	old, known := m.entries[key]
	if known && old.Mark >= mark {
		return
	}
	e := Entry{Value: value, Mark: mark, gone: removed}
	m.entries[key] = e
	if removed {
		m.removed = append(m.removed, removal{key, mark})
	}
	if removed && (!known || old.gone) {
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
	m.rand = loop.Rand(m.c.r)
	m.read()
}

// read reads all keys, repeatedly until that succeeds, and then follows their changes.
func (m *Mirror) read() {
	m.setState(MirrorReading)
	m.scan(func(ok bool) {
		if !ok {
			// The delay is random, so that controllers that start together do not retry together.
			m.tries = min(m.tries+1, 4)
			wait := 200 * loop.Millisecond << m.tries
			m.c.log.Info("keys cannot be read from the state service; the read will be retried", "prefix", m.prefix, "again_in_us", wait)
			m.c.r.After(wait/2+m.rand.Int64N(wait/2), m.read)
			return
		}
		m.tries = 0
		m.setState(MirrorWatching)
		m.follow()
	})
}

// scan reads all keys once; done is told whether they were all applied. Only one scan is in flight at a time.
func (m *Mirror) scan(done func(ok bool)) {
	if m.scanning {
		m.c.r.Post(func() { done(false) })
		return
	}
	m.scanning = true
	sent, request := m.c.r.Now(), m.c.Next()
	m.c.Scan(Answers, m.prefix, func(items []wire.KeyValue, tally uint64, ok bool) {
		m.scanning = false
		if !ok {
			done(false)
			return
		}
		m.replace(items, tally)
		// An empty store has revision 0. It must not be taken for 1: the first change of all, at revision 1,
		// would then be missed by every controller but the one that made it.
		first := !m.known
		m.known, m.since = true, max(m.since, tally)
		m.tellSynced(sent, request)
		if first {
			for _, f := range m.ready {
				f()
			}
		}
		done(true)
	})
}

// replace applies the state of all keys at a revision or later; keys that are missing were removed.
func (m *Mirror) replace(items []wire.KeyValue, tally uint64) {
	have := map[string]bool{}
	for _, it := range items {
		have[it.Key] = true
		m.Apply(it.Key, it.Value, it.Revision, false)
	}
	var gone []string // usually few, so sorting these is cheaper than sorting all keys
	for k, e := range m.entries {
		if !have[k] && !e.gone && e.Mark <= tally {
			gone = append(gone, k)
		}
	}
	sort.Strings(gone)
	for _, k := range gone {
		m.Apply(k, nil, tally, true) // removed since the last read
	}
}

// changesPath returns the path of a watch for the changes that are not known here yet.
func (m *Mirror) changesPath(wait loop.Micros) string {
	return "/changes?under=" + m.prefix + "&since=" + strconv.FormatUint(m.since, 10) + "&waitMs=" + strconv.FormatInt(wait/loop.Millisecond, 10)
}

// Sync brings the copy up to date with what the state service holds now, by a watch that does not wait. The
// functions set by OnSynced are called before done. done receives Applied, Refused (the state service certainly
// did not answer the read) or Unknown.
func (m *Mirror) Sync(p Prio, done func(Outcome)) {
	sent, request := m.c.r.Now(), m.c.Next()
	m.c.Send(p, 0, "GET", m.changesPath(0), nil, m.c.patience(), func(resp Response) {
		m.c.noteAnswer(resp)
		var events wire.Events
		switch {
		case refusedUndone(resp):
			done(Refused)
		case resp.Err == nil && resp.Status == 410:
			m.scan(func(ok bool) { done(map[bool]Outcome{true: Applied, false: Unknown}[ok]) })
		case resp.Err != nil || resp.Status != 200 || wire.Unmarshal(resp.Body, &events) != nil:
			done(Unknown)
		default:
			m.take(&events)
			m.tellSynced(sent, request)
			done(Applied)
		}
	})
}

// follow opens the next watch. It takes a request from the limits without waiting for it.
func (m *Mirror) follow() {
	now := m.c.r.Now()
	m.opened = now
	m.c.reads.have--
	path, request := m.changesPath(m.Wait), m.c.Next()
	timeout := loop.Duration(m.Wait + m.slack)
	m.c.r.Go(func() {
		resp := m.watch.Do("GET", path, nil, timeout)
		m.c.r.Post(func() { m.followed(now, request, resp) })
	})
}

// followed handles the answer of a watch and schedules the next one.
func (m *Mirror) followed(sent loop.Micros, request Sequence, resp Response) {
	if resp.Err == nil && resp.Status == 410 {
		m.read()
		return
	}
	var ev wire.Events
	if resp.Err != nil || resp.Status != 200 || wire.Unmarshal(resp.Body, &ev) != nil {
		m.c.note(sent, resp)
		if resp.Err != nil {
			m.slack = min(2*m.slack, mostSlack)
		}
		m.c.r.After(200*loop.Millisecond, m.follow)
		return
	}
	m.slack = leastSlack
	m.take(&ev)
	m.tellSynced(sent, request)
	m.forgetRemovals()
	m.c.r.After(m.watchPause(), m.follow)
}

// take applies the changes in an answer of the state service.
func (m *Mirror) take(events *wire.Events) {
	for _, e := range events.Events {
		if e.Put != "" {
			m.Apply(e.Put, e.Value, e.Revision, false)
		} else if e.Delete != "" {
			m.Apply(e.Delete, nil, e.Revision, true)
		}
	}
	m.since = max(m.since, events.StoreRevision)
}

// keptRemovals is the number of store revisions for which the revision of a removed key is kept.
const keptRemovals = 5000

// forgetRemovals drops the revisions of keys that were removed long ago.
func (m *Mirror) forgetRemovals() {
	for len(m.removed) > 0 && m.removed[0].mark+keptRemovals < m.since {
		if x := m.removed[0]; m.entries[x.key].gone && m.entries[x.key].Mark == x.mark {
			delete(m.entries, x.key)
		}
		m.removed = m.removed[1:]
	}
}

// tellSynced calls the functions set by OnSynced.
func (m *Mirror) tellSynced(sent loop.Micros, request Sequence) {
	for _, f := range m.synced {
		f(Synced{Sent: sent, Request: request, Reach: m.since})
	}
}
