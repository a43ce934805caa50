package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"cleatpick/internal/api"
	"cleatpick/internal/explain"
)

// rows prints a table.
func rows(w io.Writer, head string, print func(row func(cells ...any))) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.ReplaceAll(head, " ", "\t"))
	print(func(cells ...any) {
		for i, c := range cells {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			fmt.Fprint(t, c)
		}
		fmt.Fprintln(t)
	})
	t.Flush()
}

func clock(t explain.Time) string { return time.UnixMicro(int64(t)).UTC().Format("15:04:05") }

func span(s explain.Duration) string {
	return (time.Duration(s) * time.Microsecond).Round(100 * time.Millisecond).String()
}

func or(s, none string) string {
	if s == "" {
		return none
	}
	return s
}

func sums(all []explain.CauseCount) string {
	var out []string
	for _, s := range all {
		out = append(out, fmt.Sprintf("%s %d", s.Kind, s.Tasks))
	}
	return or(strings.Join(out, ", "), "-")
}

func showJob(w io.Writer, j *api.Job) {
	fmt.Fprintf(w, "%s: %s, %d of %d tasks done, %d running\n", j.ID, j.State, j.Done, j.Tasks, j.Running)
	if h := j.Hold; h.State != "none" && h.HoldDetail != nil {
		fmt.Fprintf(w, "  hold: %s (%s, by %s)\n", h.State, or(h.Reason, "no reason given"), or(h.By, "unknown"))
	}
	for _, d := range j.Dependencies {
		fmt.Fprintf(w, "  after %s: %s\n", d.Job, d.State)
	}
}

func showJobs(w io.Writer, v *api.Jobs) {
	rows(w, "JOB STATE TEAM CLASS PRIORITY TASKS RUNNING DONE WAITING-FOR", func(row func(...any)) {
		for _, j := range v.Jobs {
			row(j.ID, j.State, or(j.Team, "-"), or(j.Class, "-"), or(j.Priority, "-"), j.Tasks, j.Running, j.Done, sums(j.WaitingFor))
		}
	})
	if v.Next != "" {
		fmt.Fprintf(w, "more: --after %s\n", v.Next)
	}
}

func showQueue(w io.Writer, v *api.Queue) {
	rows(w, "TEAM CLASS PRIORITY JOBS WAITING CAUSE JOBS TASKS LONGEST", func(row func(...any)) {
		for _, g := range v.Queue {
			if len(g.Causes) == 0 {
				row(g.Team, g.Class, g.Priority, g.Jobs, g.WaitingJobs, "-", "-", "-", "-")
			}
			for i, c := range g.Causes {
				if i == 0 {
					row(g.Team, g.Class, g.Priority, g.Jobs, g.WaitingJobs, c.Kind, c.Jobs, c.Tasks, span(c.Longest))
				} else {
					row("", "", "", "", "", c.Kind, c.Jobs, c.Tasks, span(c.Longest))
				}
			}
		}
	})
	for _, m := range v.Missing {
		fmt.Fprintln(w, "not complete:", m)
	}
}

func showMachines(w io.Writer, v *api.Machines) {
	rows(w, "MACHINE TYPE ZONE KIND TASKS CPUS-FREE SHUT-BY", func(row func(...any)) {
		for _, m := range v.Machines {
			free := "?"
			if m.CPUsFree != nil {
				free = fmt.Sprintf("%g", *m.CPUsFree)
			}
			shut := append([]string{}, m.BlockedBy...)
			if m.BackOffReason != "" {
				shut = append(shut, "("+m.BackOffReason+")")
			}
			if len(m.Cordons) > 0 {
				shut = append(shut, "["+strings.Join(m.Cordons, " ")+"]")
			}
			row(m.Name, m.Type, m.Zone, m.Kind, m.Tasks, free, or(strings.Join(shut, " "), "-"))
		}
	})
	if v.Next != "" {
		fmt.Fprintf(w, "more: --after %s\n", v.Next)
	}
}

func selector(c *api.Cordon) string {
	var out []string
	for _, x := range [][2]string{{"machine", c.Machine}, {"type", c.Type}, {"zone", c.Zone}, {"kind", c.Kind}} {
		if x[1] != "" {
			out = append(out, x[0]+" "+x[1])
		}
	}
	return strings.Join(out, ", ")
}

func showCordon(w io.Writer, c *api.Cordon) {
	fmt.Fprintf(w, "%s: no new starts on %s (%s)\n", c.Name, selector(c), c.Reason)
	switch {
	case c.PendingStarts == nil:
		fmt.Fprintln(w, "  not every owner could be asked for starts recorded earlier")
	case *c.PendingStarts > 0:
		fmt.Fprintf(w, "  %d starts recorded earlier may still begin\n", *c.PendingStarts)
	default:
		fmt.Fprintln(w, "  nothing recorded earlier is left to begin")
	}
}

func showCordons(w io.Writer, v *api.Cordons) {
	rows(w, "CORDON OFF UNTIL BY REASON", func(row func(...any)) {
		for i := range v.Cordons {
			c := &v.Cordons[i]
			until := "-"
			if c.Until != nil {
				until = clock(*c.Until)
			}
			row(c.Name, selector(c), until, or(c.By, "-"), c.Reason)
		}
	})
	if v.Damaged {
		fmt.Fprintln(w, "the stored record cannot be read: shown is what was read last")
	}
}

func showLifted(w io.Writer, v *map[string]string) { fmt.Fprintf(w, "%s: lifted\n", (*v)["name"]) }

func showWhy(w io.Writer, a *explain.Answer) {
	fmt.Fprintf(w, "%s  %s: %s, %d of %d tasks done, %d running, %d waiting\n", clock(a.AsOf), a.Job, a.Status, a.Done, a.Tasks, a.Running, a.Waiting)
	for i := range a.Reasons {
		showReason(w, &a.Reasons[i])
	}
	if len(a.Timeline) > 0 {
		fmt.Fprintln(w, "  before:")
		if a.TimelineDropped > 0 {
			fmt.Fprintf(w, "    (%d older causes are not kept)\n", a.TimelineDropped)
		}
		for _, s := range a.Timeline {
			end := "now"
			if s.To != nil {
				end = clock(*s.To)
			}
			fmt.Fprintf(w, "    %s to %-8s  %s, up to %d tasks\n", clock(s.From), end, s.Kind, s.Tasks)
		}
	}
	for _, m := range a.Missing {
		fmt.Fprintln(w, "  not complete:", m)
	}
}

// needs says in words what a task asks of its machine.
func needs(n *explain.Needs) string {
	out := fmt.Sprintf("%g CPUs, %g GB", n.CPUs, n.MemoryGB)
	if n.GPUs > 0 {
		out += fmt.Sprintf(", %g GPUs", n.GPUs)
	}
	if len(n.Types) > 0 {
		out += ", type " + strings.Join(n.Types, " or ")
	}
	if n.Zone != "" {
		out += ", zone " + n.Zone
	}
	if !n.Spot {
		out += ", an ordinary machine"
	}
	return out
}

func showReason(w io.Writer, r *explain.Reason) {
	fmt.Fprintf(w, "  %s (%s): %d tasks", r.Kind, r.State, r.Tasks)
	if r.Since != nil {
		fmt.Fprintf(w, ", since %s", clock(*r.Since))
	}
	if len(r.BlockedBy) > 0 {
		fmt.Fprintf(w, ", by %s", strings.Join(r.BlockedBy, ", "))
	}
	fmt.Fprintln(w)
	d := &r.Detail
	if d.Hold != nil {
		fmt.Fprintf(w, "    %s, by %s at %s\n", or(d.Hold.Reason, "no reason given"), or(d.Hold.By, "unknown"), clock(d.Hold.At))
	}
	for _, b := range d.After {
		fmt.Fprintf(w, "    %s is %s\n", b.Job, b.State)
	}
	if d.Team != nil {
		fmt.Fprintf(w, "    team %s uses %g CPUs, %s, %g guaranteed\n", d.Team.Team, d.Team.CPUs, d.Team.CPUsMax, d.Team.CPUsGuaranteed)
	}
	if d.Needs != nil {
		fmt.Fprintf(w, "    each task needs %s\n", needs(d.Needs))
	}
	if m := d.Machines; m != nil {
		fmt.Fprintf(w, "    %d machines looked at\n", m.Examined)
		for _, g := range m.Groups {
			var lacks []string
			for _, k := range slices.Sorted(maps.Keys(g.Lacks)) {
				lacks = append(lacks, fmt.Sprintf("%s %d", k, g.Lacks[k]))
			}
			fmt.Fprintf(w, "      %d x %s %s %s lack: %s\n", g.Machines, g.Type, g.Zone, g.Kind, or(strings.Join(lacks, ", "), "nothing"))
		}
	}
	if s := d.Renting; s != nil {
		fmt.Fprintf(w, "    renting: %s\n", s.State)
		for _, b := range s.Booting {
			fmt.Fprintf(w, "      %d x %s %s %s boot, the oldest for %s (nominal %s)\n", b.Count, b.Type, b.Zone, b.Kind, span(b.Age), span(b.Nominal))
		}
		for _, o := range s.Refused {
			fmt.Fprintf(w, "      %s %s %s refused until %s\n", o.Type, o.Zone, o.Kind, clock(*o.Until))
		}
	}
	for _, o := range d.On {
		fmt.Fprintf(w, "    %d on %s: %s", o.Tasks, o.Machine, o.State)
		if o.PreemptedFor != "" {
			fmt.Fprintf(w, ", stopped for %s", o.PreemptedFor)
		}
		if o.ConfirmedBy != "" {
			fmt.Fprintf(w, "; settled by %s", o.ConfirmedBy)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "    released when: %s\n", r.Release)
	if e := r.Estimate; e != nil {
		fmt.Fprintf(w, "    in about %s, between %s and %s\n", span(e.Likely), span(e.Low), span(e.High))
	}
}
