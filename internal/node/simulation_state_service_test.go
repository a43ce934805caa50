package node

import (
	"strings"
	"time"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// stateServiceFaults holds the injected delays of the state service.
type stateServiceFaults struct {
	lateWrites  float64             // the share of transactions that get no answer and are executed late
	lostAnswers float64             // the share of requests that are executed at once and get no answer
	answerDelay [2]eventloop.Micros // the range of how long answers take; 0: no delay
	slowShare   float64             // the share of all requests that are executed some hundred milliseconds later
	// kinds counts the late transactions by the kind of the first key that they change, and tookEffect those of them
	// that took effect.
	kinds, tookEffect map[string]int
}

// stateLink is a controller's connection to the state service, with the injected delays.
type stateLink struct {
	link
	s *simNode
}

func (l stateLink) Do(method, path string, body []byte, limit time.Duration) store.Response {
	w := l.w
	if path == "/multi" && w.stateFaults.lateWrites > 0 && w.linkModes[l.name] == connected && w.rng.Float64() < w.stateFaults.lateWrites {
		w.after(w.between(2*eventloop.Second, 12*eventloop.Second), func() { w.recordLateTransaction(body, l.do(method, path, body)) })
		return store.Response{Err: errNoAnswer}
	}
	resp := l.link.Do(method, path, body, limit)
	if resp.Err == nil {
		w.copyStateRequest(l.do, method, path, body)
	}
	if w.stateFaults.lostAnswers > 0 && w.rng.Float64() < w.stateFaults.lostAnswers {
		return store.Response{Err: errNoAnswer}
	}
	if w.stateFaults.answerDelay[1] > 0 {
		d := w.between(w.stateFaults.answerDelay[0], w.stateFaults.answerDelay[1])
		if most := eventloop.Micros(limit / time.Microsecond); d > most {
			d, resp = most, store.Response{Err: errNoAnswer} // it was executed, but the caller no longer waits
		}
		l.s.answerLag = d
	}
	return resp
}

// kindOf returns the kind of a key, which is its prefix.
func kindOf(key string) string {
	p := strings.SplitN(key, "/", 3)
	if len(p) == 3 || p[0] == "x" {
		return strings.TrimSuffix(p[0]+"/"+p[1], "/"+p[len(p)-1])
	}
	return key
}

// recordLateTransaction counts a transaction that was executed late.
func (w *simulation) recordLateTransaction(body []byte, resp store.Response) {
	var t struct {
		Then []struct {
			Put    string `cbor:"put"`
			Delete string `cbor:"remove"`
		} `cbor:"apply"`
	}
	if wire.Unmarshal(body, &t) != nil || len(t.Then) == 0 {
		return
	}
	if w.stateFaults.kinds == nil {
		w.stateFaults.kinds, w.stateFaults.tookEffect = map[string]int{}, map[string]int{}
	}
	key := t.Then[0].Put
	if key == "" {
		key = "delete " + t.Then[0].Delete
	}
	kind := kindOf(key)
	w.stateFaults.kinds[kind]++
	if resp.Status == 200 {
		w.stateFaults.tookEffect[kind]++
	}
}
