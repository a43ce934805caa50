// Command scalerun runs a load test of a whole cluster on one machine: real controllers with simulated workers and
// users and with fakes of the state service and the cloud. It parses flags, runs the test that a settings file
// describes, prints the report and can write it as JSON. Package scale implements the test. The command is a
// development tool and no part of the service.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"cleatpick/internal/scale"

	"github.com/alecthomas/kong"
)

// arguments are the command line's arguments and flags.
type arguments struct {
	Settings string `arg:"" help:"Settings file (TOML)." type:"existingfile"`
	JSON     string `name:"json" help:"Write the report to this file as JSON." placeholder:"FILE"`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("scalerun"), kong.Description("Runs a simulated cluster on this machine and measures the controllers."))
	if err := args.run(); err != nil {
		fmt.Fprintln(os.Stderr, "scalerun:", err)
		os.Exit(1)
	}
}

// run runs the load test and writes the report. A report is also written for a run that failed.
func (a *arguments) run() error {
	settings, err := scale.Load(a.Settings)
	if err != nil || a.Check {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, runErr := scale.Run(ctx, settings)
	if report == nil {
		return runErr
	}
	report.Print(os.Stdout)
	if a.JSON != "" {
		raw, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(a.JSON, raw, 0o644); err != nil {
			return err
		}
	}
	return runErr
}
