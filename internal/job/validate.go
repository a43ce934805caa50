package job

import (
	"math"
	"strings"

	"cleatpick/internal/config"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// maxTasks is the largest number of tasks of one job.
const maxTasks = 100000

var priorities = map[string]Priority{"critical": Production, "high": High, "standard": Normal, "low": Low}

// ValidID reports whether an id has the form of a job id: "job-" and digits.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, "job-")
	if !ok || digits == "" || len(id) > 64 {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// Parse decodes a submission; ok is false if it is malformed. The id is returned even then, if it is valid: a
// client that repeats the submission of an accepted job is answered with the job's state, whatever the rest of
// the body is.
func Parse(body []byte) (id string, s *Spec, ok bool) {
	if !wire.IsMap(body) {
		return "", nil, false
	}
	var w wire.Submission
	whole := wire.Unmarshal(body, &w) == nil
	if !whole { // the id may be valid nevertheless
		var named struct {
			ID *string `cbor:"nameId"`
		}
		if wire.Unmarshal(body, &named) != nil {
			return "", nil, false
		}
		w.ID = named.ID
	}
	if w.ID == nil || !ValidID(*w.ID) {
		return "", nil, false
	}
	if whole {
		s, ok = specOf(&w)
	}
	return *w.ID, s, ok
}

// specOf converts a decoded submission; ok is false if a field is missing or out of range.
func specOf(w *wire.Submission) (s *Spec, ok bool) {
	name := func(p *string) bool { return p != nil && *p != "" && len(*p) <= 100 }
	num := func(p *float64) bool { return p != nil && *p >= 0 && *p <= 1e9 && !math.IsNaN(*p) }
	optional := func(p *float64) bool { return p == nil || num(p) }
	if !name(w.Class) || !name(w.Team) || w.Kind == nil || w.Priority == nil ||
		w.Tasks == nil || *w.Tasks < 1 || *w.Tasks > maxTasks || !num(w.CPUs) || !num(w.MemoryGB) || !num(w.GPUs) ||
		!name(w.Image) || !num(w.ImageGB) || !num(w.EstimateS) || !num(w.CheckpointS) || !num(w.SaveS) ||
		!optional(w.DeadlineS) || w.OneZone == nil || w.Spread == nil || w.Spot == nil || len(w.Types) > 200 {
		return nil, false
	}
	p, known := priorities[*w.Priority]
	if !known || (*w.Kind != wire.KindArray && *w.Kind != wire.KindService && *w.Kind != wire.KindGang) {
		return nil, false
	}
	for _, t := range w.Types {
		if t == "" || len(t) > 100 {
			return nil, false
		}
	}
	if w.Zone != nil && (*w.Zone == "" || len(*w.Zone) > 100) {
		return nil, false
	}
	opt := func(p *float64) float64 {
		if p == nil {
			return 0
		}
		return *p
	}
	s = &Spec{Class: *w.Class, Team: *w.Team, Service: *w.Kind == wire.KindService, Gang: *w.Kind == wire.KindGang, Priority: p, Tasks: int(*w.Tasks),
		CPUs: *w.CPUs, GPUs: *w.GPUs, MemoryGB: *w.MemoryGB, Image: *w.Image, ImageGB: *w.ImageGB,
		Types: w.Types, AnyType: w.Types == nil, OneZone: *w.OneZone, Spread: *w.Spread, Spot: *w.Spot,
		Estimate: loop.Seconds(*w.EstimateS), Checkpoint: loop.Seconds(*w.CheckpointS), Save: loop.Seconds(*w.SaveS),
		Deadline: loop.Seconds(opt(w.DeadlineS))}
	if w.Zone != nil {
		s.Zone = *w.Zone
	}
	return s, true
}

// Runnable reports whether the job could ever run: its team is known, a task fits an allowed machine type in an
// allowed zone, the team's limit allows it, and if all its tasks run at once, its zone constraints can be met.
// An array job can run its tasks one after another, so its `scatter` rule, which counts only the tasks that are
// on machines at the same time, can always be met. A lack of machines is no reason to reject a job, since it
// may pass. Neither is an image larger than a machine type's cache: the protocol does not rule out that it can
// be fetched.
func Runnable(s *Spec, c *config.Config, types []wire.MachineType) bool {
	team, ok := c.FindTeam(s.Team)
	if !ok {
		return false
	}
	n := 1.0
	if s.Service || s.Gang {
		n = float64(s.Tasks)
	}
	if req := c.Quota(team); !req.Allows(s.CPUs*n, s.GPUs*n) {
		return false
	}
	zones := map[string]bool{}
	for _, t := range types {
		if !s.AllowsType(t.Name) || s.CPUs > t.CPUs || s.GPUs > t.GPUs || s.MemoryGB > t.MemoryGB {
			continue
		}
		if s.Zone == "" && len(t.Zones) == 0 {
			zones[""] = true // the catalog does not name the type's zones
		}
		for _, z := range t.Zones {
			if s.Zone == "" || z == s.Zone {
				zones[z] = true
			}
		}
	}
	if (s.Service || s.Gang) && s.Spread && s.Tasks > 1 && !zones[""] {
		return len(zones) > 1 && !s.OneZone // two or more tasks must not all be in one zone
	}
	return len(zones) > 0
}
