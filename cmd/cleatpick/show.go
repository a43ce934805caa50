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

// printTable prints a table. titles holds the titles of the columns, separated by spaces; print calls row for each
// row.
func printTable(w io.Writer, titles string, print func(row func(cells ...any))) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.ReplaceAll(titles, " ", "\t"))
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

func formatTime(t explain.Time) string { return time.UnixMicro(int64(t)).UTC().Format("15:04:05") }

func formatDuration(d explain.Duration) string {
	return (time.Duration(d) * time.Microsecond).Round(100 * time.Millisecond).String()
}

// orDefault returns s, or fallback if s is empty.
func orDefault(s, fallback string) string {
	if s == "" {
		return fallback
	}
	return s
}

// formatCauses lists causes with the number of tasks that wait for each.
func formatCauses(all []explain.CauseCount) string {
	var out []string
	for _, s := range all {
		out = append(out, fmt.Sprintf("%s %d", s.Kind, s.Tasks))
	}
	return orDefault(strings.Join(out, ", "), "-")
}

func showJob(w io.Writer, j *api.Job) {
	fmt.Fprintf(w, "%s: %s, %d of %d tasks done, %d running\n", j.ID, j.State, j.Done, j.Tasks, j.Running)
	if h := j.Hold; h.State != "none" && h.HoldDetail != nil {
		fmt.Fprintf(w, "  hold: %s (%s, by %s)\n", h.State, orDefault(h.Reason, "no reason given"), orDefault(h.By, "unknown"))
	}
	for _, d := range j.Dependencies {
		fmt.Fprintf(w, "  after %s: %s\n", d.Job, d.State)
	}
}

func showJobs(w io.Writer, v *api.Jobs) {
	printTable(w, "JOB STATE TEAM CLASS PRIORITY TASKS RUNNING DONE WAITING-FOR", func(row func(...any)) {
		for _, j := range v.Jobs {
			row(j.ID, j.State, orDefault(j.Team, "-"), orDefault(j.Class, "-"), orDefault(j.Priority, "-"), j.Tasks, j.Running, j.Done, formatCauses(j.WaitingFor))
		}
	})
	if v.Next != "" {
		fmt.Fprintf(w, "more: --after %s\n", v.Next)
	}
}

func showQueue(w io.Writer, v *api.Queue) {
	printTable(w, "TEAM CLASS PRIORITY JOBS WAITING CAUSE JOBS TASKS LONGEST", func(row func(...any)) {
		for _, g := range v.Queue {
			if len(g.Causes) == 0 {
				row(g.Team, g.Class, g.Priority, g.Jobs, g.WaitingJobs, "-", "-", "-", "-")
			}
			for i, c := range g.Causes {
				if i == 0 {
					row(g.Team, g.Class, g.Priority, g.Jobs, g.WaitingJobs, c.Kind, c.Jobs, c.Tasks, formatDuration(c.Longest))
				} else {
					row("", "", "", "", "", c.Kind, c.Jobs, c.Tasks, formatDuration(c.Longest))
				}
			}
		}
	})
	for _, m := range v.Missing {
		fmt.Fprintln(w, "incomplete:", m)
	}
}

func showMachines(w io.Writer, v *api.Machines) {
	printTable(w, "MACHINE TYPE ZONE KIND TASKS CPUS-FREE SHUT-BY", func(row func(...any)) {
		for _, m := range v.Machines {
			free := "?"
			if m.CPUsFree != nil {
				free = fmt.Sprintf("%g", *m.CPUsFree)
			}
			blockedBy := append([]string{}, m.BlockedBy...)
			if m.BackOffReason != "" {
				blockedBy = append(blockedBy, "("+m.BackOffReason+")")
			}
			if len(m.Cordons) > 0 {
				blockedBy = append(blockedBy, "["+strings.Join(m.Cordons, " ")+"]")
			}
			row(m.Name, m.Type, m.Zone, m.Kind, m.Tasks, free, orDefault(strings.Join(blockedBy, " "), "-"))
		}
	})
	if v.Next != "" {
		fmt.Fprintf(w, "more: --after %s\n", v.Next)
	}
}

// formatSelector describes the machines that a cordon covers.
func formatSelector(c *api.Cordon) string {
	var out []string
	for _, x := range [][2]string{{"machine", c.Machine}, {"type", c.Type}, {"zone", c.Zone}, {"kind", c.Kind}} {
		if x[1] != "" {
			out = append(out, x[0]+" "+x[1])
		}
	}
	return strings.Join(out, ", ")
}

func showCordon(w io.Writer, c *api.Cordon) {
	fmt.Fprintf(w, "%s: no new starts on %s (%s)\n", c.Name, formatSelector(c), c.Reason)
	switch {
	case c.PendingStarts == nil:
		fmt.Fprintln(w, "  starts recorded earlier are unknown, since not every owner could be asked")
	case *c.PendingStarts > 0:
		fmt.Fprintf(w, "  %d starts recorded earlier are pending and may still begin\n", *c.PendingStarts)
	default:
		fmt.Fprintln(w, "  no start recorded earlier is pending")
	}
}

func showCordons(w io.Writer, v *api.Cordons) {
	printTable(w, "CORDON MACHINES UNTIL BY REASON", func(row func(...any)) {
		for i := range v.Cordons {
			c := &v.Cordons[i]
			until := "-"
			if c.Until != nil {
				until = formatTime(*c.Until)
			}
			row(c.Name, formatSelector(c), until, orDefault(c.By, "-"), c.Reason)
		}
	})
	if v.Damaged {
		fmt.Fprintln(w, "the stored record cannot be decoded; the list shows the cordons of the last valid record")
	}
}

func showUncordoned(w io.Writer, v *map[string]string) { fmt.Fprintf(w, "%s: removed\n", (*v)["name"]) }

func showWhy(w io.Writer, a *explain.Answer) {
	fmt.Fprintf(w, "%s  %s: %s, %d of %d tasks done, %d running, %d waiting\n", formatTime(a.AsOf), a.Job, a.Status, a.Done, a.Tasks, a.Running, a.Waiting)
	for i := range a.Reasons {
		showReason(w, &a.Reasons[i])
	}
	if len(a.Timeline) > 0 {
		fmt.Fprintln(w, "  earlier causes:")
		if a.TimelineDropped > 0 {
			fmt.Fprintf(w, "    (%d older causes were discarded)\n", a.TimelineDropped)
		}
		for _, s := range a.Timeline {
			end := "now"
			if s.To != nil {
				end = formatTime(*s.To)
			}
			fmt.Fprintf(w, "    %s to %-8s  %s, up to %d tasks\n", formatTime(s.From), end, s.Kind, s.Tasks)
		}
	}
	for _, m := range a.Missing {
		fmt.Fprintln(w, "  incomplete:", m)
	}
}

// formatNeeds describes what a task requires of its machine.
func formatNeeds(n *explain.Needs) string {
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
		fmt.Fprintf(w, ", since %s", formatTime(*r.Since))
	}
	if len(r.BlockedBy) > 0 {
		fmt.Fprintf(w, ", by %s", strings.Join(r.BlockedBy, ", "))
	}
	fmt.Fprintln(w)
	d := &r.Detail
	if d.Hold != nil {
		fmt.Fprintf(w, "    %s, by %s at %s\n", orDefault(d.Hold.Reason, "no reason given"), orDefault(d.Hold.By, "unknown"), formatTime(d.Hold.At))
	}
	for _, b := range d.Dependencies {
		fmt.Fprintf(w, "    %s is %s\n", b.Job, b.State)
	}
	if d.Team != nil {
		fmt.Fprintf(w, "    team %s uses %g CPUs, %s, %g guaranteed\n", d.Team.Team, d.Team.CPUs, d.Team.CPUsMax, d.Team.CPUsGuaranteed)
	}
	if d.Needs != nil {
		fmt.Fprintf(w, "    each task needs %s\n", formatNeeds(d.Needs))
	}
	if m := d.Machines; m != nil {
		fmt.Fprintf(w, "    %d machines examined\n", m.Examined)
		for _, g := range m.Groups {
			var lacks []string
			for _, k := range slices.Sorted(maps.Keys(g.Lacks)) {
				lacks = append(lacks, fmt.Sprintf("%s %d", k, g.Lacks[k]))
			}
			fmt.Fprintf(w, "      %d x %s %s %s lack: %s\n", g.Machines, g.Type, g.Zone, g.Kind, orDefault(strings.Join(lacks, ", "), "nothing"))
		}
	}
	if renting := d.Renting; renting != nil {
		fmt.Fprintf(w, "    renting: %s\n", renting.State)
		for _, b := range renting.Booting {
			fmt.Fprintf(w, "      %d x %s %s %s booting, the oldest for %s (nominal boot time %s)\n", b.Count, b.Type, b.Zone, b.Kind, formatDuration(b.Age), formatDuration(b.Nominal))
		}
		for _, o := range renting.Refused {
			fmt.Fprintf(w, "      %s %s %s refused until %s\n", o.Type, o.Zone, o.Kind, formatTime(*o.Until))
		}
	}
	for _, o := range d.On {
		fmt.Fprintf(w, "    %d on %s: %s", o.Tasks, o.Machine, o.State)
		if o.PreemptedFor != "" {
			fmt.Fprintf(w, ", preempted for %s", o.PreemptedFor)
		}
		if o.ConfirmedBy != "" {
			fmt.Fprintf(w, "; termination would be confirmed by %s", o.ConfirmedBy)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "    released when: %s\n", r.Release)
	if e := r.Estimate; e != nil {
		fmt.Fprintf(w, "    expected in about %s, probably between %s and %s\n", formatDuration(e.Likely), formatDuration(e.Low), formatDuration(e.High))
	}
}
