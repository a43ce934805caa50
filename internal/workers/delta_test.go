package workers

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"cleatpick/internal/wire"

	"pgregory.net/rapid"
)

// drawTasks changes a task list as a worker would, and sometimes in ways that no worker would.
func drawTasks(t *rapid.T, old []Task, next *int) []Task {
	out := slices.Clone(old)
	for range rapid.IntRange(0, 4).Draw(t, "changes") {
		switch n := len(out); rapid.IntRange(0, 4).Draw(t, "change") {
		case 0, 1:
			*next++
			out = append(out, Task{Task: fmt.Sprintf("job-%d/%d", *next/7, *next), Attempt: uint64(rapid.IntRange(1, 3).Draw(t, "attempt")), State: wire.TaskFetching})
		case 2:
			if n > 0 {
				i := rapid.IntRange(0, n-1).Draw(t, "ends")
				out[i].State, out[i].Why = wire.TaskExited, wire.WhyDone
			}
		case 3:
			if n > 0 {
				i := rapid.IntRange(0, n-1).Draw(t, "forgotten")
				out = slices.Delete(out, i, i+1)
			}
		case 4: // another order is legal and only makes the delta larger
			if n > 1 {
				i := rapid.IntRange(0, n-2).Draw(t, "swapped")
				out[i], out[i+1] = out[i+1], out[i]
			}
		}
	}
	return out
}

// A view built from deltas equals the view that the host published, whatever messages were lost, duplicated or
// late before; where that is impossible, the full view is requested. The differences that ChangesSince reports are
// those that a comparison of all tasks finds.
func TestDeltasReproduceViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		next := 0
		host := &View{Name: "n-1", Addr: "x", Host: "b", Session: 1, Tasks: []Task{}}
		var published *View // as published by the host
		a := newTestRegistry().registry
		var late [][]byte
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			v := *host
			v.Tasks = drawTasks(t, host.Tasks, &next)
			v.Rev++
			if rapid.Bool().Draw(t, "report") {
				v.Seq, v.ReportedAt = v.Seq+1, v.ReportedAt+5
			}
			if rapid.IntRange(0, 9).Draw(t, "session") == 0 {
				v.Session, v.Seq, v.Tasks = v.Session+1, 1, []Task{}
			}
			if rapid.IntRange(0, 9).Draw(t, "epoch") == 0 {
				v.Epoch++
			}
			v.TokenConfirmed, v.MadeAfter = rapid.Bool().Draw(t, "settled"), v.MadeAfter+1
			checkChanges(t, host, &v)
			host = &v
			if rapid.IntRange(0, 2).Draw(t, "gather") == 0 {
				continue
			}
			d, ok := v.deltaTo(published)
			published = host
			if !ok {
				if rapid.IntRange(0, 4).Draw(t, "lost full") != 0 {
					c := v
					a.ApplyView(&c)
				}
				continue
			}
			frame := wire.Marshal(d)
			switch rapid.IntRange(0, 5).Draw(t, "way") {
			case 0: // lost
				continue
			case 1:
				late = append(late, frame)
				continue
			}
			deliver(t, a, frame, host)
			if len(late) > 0 && rapid.Bool().Draw(t, "late") {
				deliver(t, a, late[0], nil)
				late = late[1:]
			}
		}
	})
}

// deliver hands a delta to the receiving registry. want is the view that it describes; nil if the delta is
// late.
func deliver(t *rapid.T, a *Registry, frame []byte, want *View) {
	d := new(Delta)
	if err := wire.Unmarshal(frame, d); err != nil {
		t.Fatal(err)
	}
	before := a.View(d.Name)
	lost := a.ApplyDelta("b", d)
	have := a.View(d.Name)
	switch {
	case want == nil && before != nil && have != before && have.Rev <= before.Rev && have.Session == before.Session:
		t.Fatal("a late delta replaced the view by an older one")
	case want != nil && lost:
		c := *want // the full view is requested
		a.ApplyView(&c)
	case want != nil:
		h, w := *have, *want
		h.jobs, w.jobs, h.used, w.used, h.resolved, w.resolved = nil, nil, Capacity{}, Capacity{}, false, false
		if len(h.Tasks) == len(w.Tasks) && len(h.Tasks) == 0 {
			h.Tasks, w.Tasks = nil, nil
		}
		if !reflect.DeepEqual(h, w) {
			t.Fatalf("the receiver has %+v, the host published %+v", h, w)
		}
	}
}

// checkChanges compares the result of ChangesSince with a comparison of every task.
func checkChanges(t *rapid.T, old, v *View) {
	c := v.ChangesSince(old)
	if c.All {
		if old.Session == v.Session {
			t.Fatal("all tasks count as changed within one session")
		}
		return
	}
	for k := range v.Tasks {
		if c.Kept(k) && v.Tasks[k] != old.Tasks[c.OldIndexOf(k)] {
			t.Fatalf("%+v counts as unchanged since %+v", v.Tasks[k], old.Tasks[c.OldIndexOf(k)])
		}
	}
	for i := range old.Tasks {
		if at := v.Find(old.Tasks[i].Task, old.Tasks[i].Attempt); (at == nil || *at != old.Tasks[i]) && !slices.Contains(c.Removed, i) {
			t.Fatalf("%+v is missing or has changed but is not reported in Removed", old.Tasks[i])
		}
	}
	if c.Unchanged != slices.Equal(old.Tasks, v.Tasks) {
		t.Fatalf("Unchanged is %v, which a comparison of the lists contradicts", c.Unchanged)
	}
}

// A corrupt delta from a peer is rejected or applied consistently, without a panic.
func FuzzDelta(f *testing.F) {
	f.Add(wire.Marshal(&Delta{Name: "n-1", Session: 1, BaseSeq: 1, BaseRev: 1, Seq: 2, Rev: 2, Removed: []int{-1, 7, 0}, Added: []IndexedTask{{Index: 1 << 40}}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		d := new(Delta)
		if wire.Unmarshal(raw, d) != nil {
			return
		}
		base := &View{Name: "n-1", Session: d.Session, Seq: d.BaseSeq, Rev: d.BaseRev, Tasks: []Task{{Task: "j/0", Attempt: 1}, {Task: "j/1", Attempt: 1}}}
		if v := d.apply(base); v != nil && len(v.Tasks) != len(base.Tasks)-len(d.Removed)+len(d.Added) {
			t.Fatal("tasks were lost")
		}
	})
}
