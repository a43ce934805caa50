package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"reflect"
	"sync"
	"testing"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
	"cleatpick/internal/watermark"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// largeViews are the views of as many machines as the largest fleet has, half as large again, with 64 tasks each.
func largeViews() (views []*workers.View) {
	for i := range 1110 {
		v := &workers.View{Name: fmt.Sprintf("n-%06d", i), Addr: "10.0.0.1:9000", Type: "m64", Zone: "x", Host: "a", Session: 1, Seq: 1, Tasks: []workers.Task{}}
		for k := range 64 {
			v.Tasks = append(v.Tasks, workers.Task{Task: workers.TaskName(fmt.Sprintf("job-%06d", i), k), Attempt: 1, State: wire.TaskRunning})
		}
		views = append(views, v)
	}
	return views
}

// decodeFrames decodes frames, and merges what they carry in their order.
func decodeFrames(t *testing.T, frames [][]byte) *Envelope {
	t.Helper()
	merged := &Envelope{}
	into := reflect.ValueOf(merged).Elem()
	for _, f := range frames {
		var e Envelope
		if err := wire.Unmarshal(f, &e); err != nil {
			t.Fatal(err)
		}
		part := reflect.ValueOf(e)
		for i := range part.NumField() {
			switch field := part.Field(i); {
			case field.Kind() == reflect.Slice:
				into.Field(i).Set(reflect.AppendSlice(into.Field(i), field))
			case !field.IsZero():
				into.Field(i).Set(field)
			}
		}
	}
	return merged
}

// Dividing an envelope loses nothing, keeps the order of every list, and names the sender in each frame.
func TestDividedEnvelopeIsComplete(t *testing.T) {
	e := &Envelope{}
	fields := reflect.ValueOf(e).Elem()
	for i := range fields.NumField() {
		if f := fields.Field(i); f.Kind() == reflect.Slice {
			f.Set(reflect.MakeSlice(f.Type(), 5, 5))
			for k := range 5 {
				if item := f.Index(k); item.Kind() == reflect.Pointer {
					item.Set(reflect.New(item.Type().Elem()))
				}
			}
		}
	}
	for k := range 5 {
		e.Views[k].Name, e.Starts[k].Task, e.MissingViews[k] = fmt.Sprint("v", k), fmt.Sprint("s", k), fmt.Sprint("m", k)
	}
	e.From, e.Incarnation = "a", 7
	e.Status, e.Watermark, e.Demand = &Status{Wall: 1}, &watermark.Message{Version: 1}, &Demand{Wall: 2, Requests: []Request{{CPUs: 1}}}
	n := New(fake.NewRunner(0), slog.New(slog.NewTextHandler(io.Discard, nil)), "a", nil)
	n.SetFrameSizes(1, maxFrame)
	frames, dropped := n.encode(e)
	if dropped != 0 || len(frames) < e.items() {
		t.Fatalf("%d frames for %d items, %d dropped", len(frames), e.items(), dropped)
	}
	for _, f := range frames {
		var part Envelope
		if err := wire.Unmarshal(f, &part); err != nil || part.From != "a" || part.Incarnation != 7 {
			t.Fatalf("a frame is from %q, incarnation %d, error %v", part.From, part.Incarnation, err)
		}
	}
	if got, want := wire.Marshal(decodeFrames(t, frames)), wire.Marshal(decodeFrames(t, [][]byte{wire.Marshal(e)})); string(got) != string(want) {
		t.Errorf("the frames carry %x, want %x", got, want)
	}
}

// A demand cannot be divided. Of one that exceeds a frame, the requests that are served first are sent.
func TestDemandThatExceedsAFrameIsCut(t *testing.T) {
	n := New(fake.NewRunner(0), slog.New(slog.NewTextHandler(io.Discard, nil)), "a", nil)
	e := &Envelope{From: "a", Demand: &Demand{Wall: 2}}
	for i := range 40000 {
		e.Demand.Requests = append(e.Demand.Requests, Request{CPUs: 1.1, MemoryGB: 1.7, Zone: "zone-1", Count: i, RunTime: 40e6})
	}
	frames, dropped := n.encode(e)
	if len(frames) != 1 || len(frames[0]) > maxFrame {
		t.Fatalf("%d frames, want one of at most %d bytes", len(frames), maxFrame)
	}
	sent := decodeFrames(t, frames).Demand.Requests
	if dropped == 0 || len(sent)+dropped != len(e.Demand.Requests) {
		t.Fatalf("%d requests are sent and %d count as dropped, of %d", len(sent), dropped, len(e.Demand.Requests))
	}
	for i := range sent {
		if sent[i].Count != i {
			t.Fatalf("request %d of those that are sent was request %d", i, sent[i].Count)
		}
	}
}

// All views of a large fleet reach a peer over a real connection. Sent in one frame they exceeded the size that receivers
// accept, and the connection was closed again and again.
func TestViewsOfLargeFleetArrive(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	run := func(f func() error) {
		running.Add(1)
		go func() {
			defer running.Done()
			if err := f(); err != nil && !errors.Is(err, context.Canceled) && ctx.Err() == nil {
				t.Error(err)
			}
		}()
	}
	start := func(label string, ln net.Listener, peers []config.Peer) (*eventloop.Loop, *Net) {
		loop := eventloop.New()
		n := New(loop, slog.New(slog.NewTextHandler(io.Discard, nil)), label, peers)
		n.Incarnation = 1
		n.OnFrame, n.OnRefused, n.OnConnected = func(*Envelope) {}, func(string) {}, func(string) {}
		run(func() error { return loop.Run(ctx) })
		return loop, n
	}
	listen := func() net.Listener {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return ln
	}
	lnA, lnB := listen(), listen()
	_, b := start("b", lnB, []config.Peer{{Label: "a", Endpoint: lnA.Addr().String()}})
	_, a := start("a", lnA, []config.Peer{{Label: "b", Endpoint: lnB.Addr().String()}})
	views := largeViews()
	arrived := make(chan string, len(views))
	b.OnFrame = func(e *Envelope) {
		for _, v := range e.Views {
			arrived <- v.Name
		}
	}
	a.OnConnected = func(label string) { a.Send(label, func(e *Envelope) { e.Views = append(e.Views, views...) }) }
	run(func() error { return b.Run(ctx, lnB) })
	run(func() error { return a.Run(ctx, lnA) })
	limit := time.After(20 * time.Second)
	for k := range views {
		select {
		case name := <-arrived:
			if name != views[k].Name {
				t.Fatalf("view %d is that of %s, want %s", k, name, views[k].Name)
			}
		case <-limit:
			t.Fatalf("%d of %d views arrived", k, len(views))
		}
	}
}
