// Command stand runs one case of the review: it starts the controllers with the command of the deploy file, stands in
// for the state service, the cloud, the workers and the users, brings about the disruption and checks the rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
)

// cases are the cases by number. Each is given the folder for its record and the command of the deploy file.
var cases = map[string]func(folder string, run []string){}

func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER RUN...")
		os.Exit(2)
	}
	run := os.Args[3:]
	if len(run) == 1 {
		run = strings.Fields(run[0])
	}
	f := cases[os.Args[1]]
	if f == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	f(os.Args[2], run)
}

// endOnSignal ends the run, with all its processes, when it is told to end.
func (w *world) endOnSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-c
		w.couldNotRun("ended by a signal")
	}()
}
