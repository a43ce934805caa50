// Command cleatpick is one controller of the cluster scheduler.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"

	"cleatpick/internal/config"
	"cleatpick/internal/node"

	"github.com/alecthomas/kong"
)

// version is what --version prints.
const version = "0.2.0"

type cli struct {
	Config   string           `help:"The platform's settings file (TOML)." placeholder:"FILE" required:""`
	Operator string           `help:"The operators' own settings file (TOML)." placeholder:"FILE"`
	Check    bool             `help:"Check the settings and end."`
	Version  kong.VersionFlag `help:"Print the version and end."`
}

func main() {
	var args cli
	parser := kong.Must(&args, kong.Name("cleatpick"), kong.Description("A cluster scheduler that rents machines by its misses."),
		kong.Vars{"version": "cleatpick " + version})
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "cleatpick:", err)
		os.Exit(2)
	}
	cfg, err := config.Load(args.Config, args.Operator)
	if err != nil {
		for _, line := range strings.Split(err.Error(), "\n") {
			fmt.Fprintln(os.Stderr, "cleatpick:", line)
		}
		os.Exit(2)
	}
	level, err := logLevel(os.Getenv("LOG_LEVEL"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "cleatpick:", err)
		os.Exit(2)
	}
	if args.Check {
		fmt.Println("settings are sound")
		return
	}
	// The machines are small: the collector is told how much there is.
	debug.SetMemoryLimit(int64(cfg.Cluster.Limits.RAMMB * 0.6 * (1 << 20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := node.New(cfg, log).Run(ctx); err != nil && ctx.Err() == nil {
		log.Error("ended", "err", err)
		os.Exit(1)
	}
}

func logLevel(s string) (slog.Level, error) {
	switch s {
	case "error":
		return slog.LevelError, nil
	case "", "info":
		return slog.LevelInfo, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("LOG_LEVEL: must be error, info or debug, is %q", s)
}
