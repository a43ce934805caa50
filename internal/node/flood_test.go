package node

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"cleatpick/internal/loop"
	"cleatpick/internal/standin"
	"cleatpick/internal/wire"

	"github.com/valyala/fasthttp"
)

// When far more submissions arrive than the state service accepts, each is answered in time, with 201 or with
// Retry-After; reports are still answered; and after the flood submissions are accepted as before.
func TestSubmissionFloodIsAnswered(t *testing.T) {
	clock := loop.RealClock()
	state := standin.NewStateService(clock.Now)
	cloud := standin.NewCloud(wire.MachineType{Name: "m8", CPUs: 8, MemoryGB: 32, Price: 1, SpotPrice: 0.3, BootS: 1, Zones: []string{"x"}}, 4)
	cloud.OnRented, cloud.OnDeleted = func(wire.CloudMachine) {}, func(string) {}
	c := onLoopback(t, "s-0", serve(t, requestsOf(state)), serve(t, requestsOf(cloud)), 1)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go New(c, slog.New(slog.DiscardHandler)).Run(ctx)

	client := &fasthttp.Client{MaxConnsPerHost: 400}
	ask := func(path string, body any) (code int, after string, took time.Duration) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + c.ClientListen + path)
		req.Header.SetMethod("POST")
		req.SetBody(wire.Marshal(body))
		began := time.Now()
		if client.DoTimeout(req, resp, 5*time.Second) != nil {
			return 0, "", time.Since(began)
		}
		return resp.StatusCode(), string(resp.Header.Peek("Retry-After")), time.Since(began)
	}
	work := func(n int) map[string]any {
		return map[string]any{"nameId": fmt.Sprintf("job-%06d", n), "lineup": "k", "squad": "red", "play": "batch", "urgency": "low", "snaps": 1,
			"cpus": 2.0, "cards": 0.0, "ramGb": 1.0, "kit": "i", "sizeGb": 1.0, "oneZone": false, "scatter": false, "loaners": true,
			"expectS": 1.0, "timeoutS": 0.0, "huddleS": 0.0}
	}
	accepted := func(n int, within time.Duration) time.Duration {
		t.Helper()
		began := time.Now()
		for time.Since(began) < within {
			if code, _, took := ask("/work", work(n)); code == 201 || code == 200 {
				return took
			}
			time.Sleep(50 * time.Millisecond)
		}
		t.Fatalf("job %d was not accepted within %v", n, within)
		return 0
	}
	accepted(1, 30*time.Second)

	var mu sync.Mutex
	codes := map[int]int{}
	var wg sync.WaitGroup
	for user := range 300 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 4 {
				code, after, took := ask("/work", work(100+4*user+i))
				mu.Lock()
				codes[code]++
				mu.Unlock()
				if code != 201 && (code != 503 && code != 429 || after == "") {
					t.Errorf("a submission in the flood got %d, Retry-After %q", code, after)
				}
				if took > 4*time.Second {
					t.Errorf("a submission in the flood was answered after %v", took)
				}
			}
		}()
	}
	for i := range 10 {
		code, _, took := ask("/agent/beat", wire.Report{Machine: "n-900001", Addr: "127.0.0.1:1", Type: "m8", Zone: "x", Session: 1, Seq: uint64(i + 1), Tasks: []wire.ReportTask{}})
		if code != 200 || took > 3*time.Second {
			t.Errorf("a report in the flood got %d after %v", code, took)
		}
	}
	wg.Wait()
	if codes[201] == 0 || codes[201] == 1200 {
		t.Errorf("answers by status %v of 1200 submissions: none was accepted, or none was refused", codes)
	}
	if took := accepted(5000, 10*time.Second); took > 3*time.Second {
		t.Errorf("after the flood a submission takes %v, want 3 s or less", took)
	}
}
