package main

import (
	"fmt"
	"regexp"
	"strconv"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/wire"
)

func six(n int) string { return fmt.Sprintf("%06d", n) }

// smallSettings are the settings of the smaller deployment of the users' pages, with machines that boot at once.
func smallSettings() settings {
	s := settings{nodes: 3, zones: []string{"brno-a", "ostrava-b"}, report: 3, lease: 19, can: 39, rps: 100, writeRPS: 40, valueKB: 32, cloudRPS: 2, listLag: 3, ramMB: 179, sockets: 1800,
		types:   []wire.MachineType{{Name: "sealbox-16", CPUs: 16, MemoryGB: 32, CacheGB: 60, FetchGBPerS: 1, Price: 0.68, SpotPrice: 0.19, BootS: 3, Zones: []string{"brno-a", "ostrava-b"}}},
		perZone: 16, bootS: 3}
	for _, t := range []struct {
		name     string
		cpus, up float64
	}{{"pecet", 136, 320}, {"archiv", 112, 272}, {"overeni", 88, 232}, {"portal", 88, 232}} {
		s.teams = append(s.teams, config.Team{Name: t.name, CPUs: t.cpus, CPUsMax: t.up})
	}
	return s
}

var claimNumber = regexp.MustCompile(`claim=(\d+)`)

// leader returns the controller that became the leader last, by the controllers' logs: its index and the claim's number.
func (w *world) leader() (who int, claim int) {
	who = -1
	for i := range w.nodes {
		for _, line := range w.logged(i, `ownership claim acquired" key=c/l `) {
			m := claimNumber.FindStringSubmatch(line)
			if m == nil {
				continue
			}
			if n, _ := strconv.Atoi(m[1]); n > claim {
				who, claim = i, n
			}
		}
	}
	return who, claim
}

// nextLeader waits until the leadership has been claimed anew.
func (w *world) nextLeader(after int, within time.Duration) (who, claim int) {
	need(until(within, func() bool { who, claim = w.leader(); return claim > after }), "no new leader")
	w.f("leader: %s", w.nodes[who].label)
	return who, claim
}
