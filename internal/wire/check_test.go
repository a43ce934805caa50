package wire

import (
	"strings"
	"testing"
)

// An invalid report is rejected with an error that names the field at fault. A valid report is accepted, also with
// fields that this version does not know.
func TestInvalidReports(t *testing.T) {
	validReport := func() map[string]any {
		return map[string]any{"stall": "n-1", "address": "x:1", "build": "m8", "field": "x", "loaners": true, "shift": 2, "down": 88, "armband": 41, "recallS": nil, "later": 1,
			"snaps": []any{map[string]any{"snap": "job-1/0", "try": 1, "standing": "ended", "call": "done"}, map[string]any{"snap": "job-1/1", "try": 2, "standing": "waiting"}}}
	}
	setTaskField := func(key string, value any) func(map[string]any) {
		return func(m map[string]any) { m["snaps"].([]any)[0].(map[string]any)[key] = value }
	}
	for _, c := range []struct {
		fault string
		set   func(map[string]any)
	}{
		{"", func(map[string]any) {}},
		{"", func(m map[string]any) { m["recallS"] = 12.5 }},
		{"", func(m map[string]any) { m["snaps"] = []any{} }},
		{"stall is missing", func(m map[string]any) { delete(m, "stall") }},
		{"address is missing", func(m map[string]any) { m["address"] = "" }},
		{"build is missing", func(m map[string]any) { delete(m, "build") }},
		{"field is missing", func(m map[string]any) { delete(m, "field") }},
		{"shift is missing", func(m map[string]any) { m["shift"] = 0 }},
		{"shift is a", func(m map[string]any) { m["shift"] = "two" }},
		{"armband is a", func(m map[string]any) { m["armband"] = -1 }},
		{"recallS is out of range", func(m map[string]any) { m["recallS"] = -3.0 }},
		{"snaps is a", func(m map[string]any) { m["snaps"] = 7 }},
		{"snap is missing", setTaskField("snap", "")},
		{"try is missing", setTaskField("try", 0)},
		{"call is missing", setTaskField("call", "")},
		{"standing \"asleep\" is unknown", setTaskField("standing", "asleep")},
	} {
		m := validReport()
		c.set(m)
		_, err := ReadReport(Marshal(m))
		if c.fault == "" && err != nil || c.fault != "" && (err == nil || !strings.Contains(err.Error(), c.fault)) {
			t.Errorf("error %v, want %q", err, c.fault)
		}
	}
	for _, body := range [][]byte{nil, []byte("no CBOR"), Marshal([]int{1}), Marshal(validReport())[:20]} {
		if _, err := ReadReport(body); err == nil {
			t.Errorf("%q is accepted as a report", body)
		}
	}
}
