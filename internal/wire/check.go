package wire

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// taskWaiting is the state of a gang task that waits for the other tasks of its gang. Only tasks of gangs can be
// in it.
const taskWaiting = "waiting"

// ReadReport decodes and validates a worker's report. The error names the field that is missing, has a wrong type
// or is out of range, by its name in the protocol.
func ReadReport(body []byte) (r Report, err error) {
	if !IsMap(body) {
		return r, errors.New("not a map")
	}
	if err := Unmarshal(body, &r); err != nil {
		var typeErr *cbor.UnmarshalTypeError
		if errors.As(err, &typeErr) && typeErr.StructFieldName != "" {
			return r, fmt.Errorf("%s is a %s", typeErr.StructFieldName[strings.LastIndexByte(typeErr.StructFieldName, '.')+1:], typeErr.CBORType)
		}
		return r, errors.New("not valid CBOR, or not a report")
	}
	return r, r.check()
}

// check validates the values of the fields.
func (r *Report) check() error {
	for _, rule := range [...]struct {
		message string
		applies bool
	}{
		{"stall is missing", r.Machine == ""},
		{"address is missing", r.Addr == ""},
		{"build is missing", r.Type == ""},
		{"field is missing", r.Zone == ""},
		{"shift is missing or 0", r.Session == 0},
		{"recallS is out of range", r.NoticeS != nil && !(*r.NoticeS >= 0 && *r.NoticeS <= math.MaxInt32)},
	} {
		if rule.applies {
			return errors.New(rule.message)
		}
	}
	for i := range r.Tasks {
		switch t := &r.Tasks[i]; {
		case t.Task == "":
			return fmt.Errorf("snaps %d: snap is missing", i)
		case t.Attempt == 0:
			return fmt.Errorf("snaps %d: try is missing or 0", i)
		case t.State == TaskExited && t.Why == "":
			return fmt.Errorf("snaps %d: call is missing", i)
		}
		switch s := r.Tasks[i].State; s {
		case TaskFetching, TaskRunning, TaskSaving, TaskExited, taskWaiting:
		default:
			return fmt.Errorf("snaps %d: standing %.20q is unknown", i, s)
		}
	}
	return nil
}
