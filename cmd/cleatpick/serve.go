package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"

	"cleatpick/internal/config"
	"cleatpick/internal/node"
)

type serveCmd struct {
	Config   string `help:"The platform's settings file (TOML)." placeholder:"FILE" required:""`
	Operator string `help:"The operators' own settings file (TOML)." placeholder:"FILE"`
	Check    bool   `help:"Check the settings and exit."`
}

// Run runs a controller until it is interrupted.
func (s *serveCmd) Run() error {
	cfg, err := config.Load(s.Config, s.Operator)
	if err != nil {
		return usageError{err}
	}
	level, err := logLevel(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return usageError{err}
	}
	if s.Check {
		fmt.Println("settings are valid")
		return nil
	}
	// Controllers run with little memory: the limit makes the garbage collector work harder before the process reaches
	// the platform's RAM limit. Far below it the collector runs less often than by default, which saves CPU time, since
	// the CPU limit is low too.
	debug.SetGCPercent(200)
	debug.SetMemoryLimit(int64(cfg.Cluster.Limits.RAMMB * 0.6 * (1 << 20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := node.New(cfg, log).Run(ctx); err != nil && ctx.Err() == nil {
		log.Error("controller stopped after an error; other controllers take over its partitions once its lease expires", "err", err)
		return errors.New("controller stopped after an error; see the log")
	}
	return nil
}

// logLevel parses the value of LOG_LEVEL; the default is info.
func logLevel(s string) (slog.Level, error) {
	switch s {
	case "error":
		return slog.LevelError, nil
	case "", "info":
		return slog.LevelInfo, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("LOG_LEVEL: must be error, info or debug, got %q", s)
}
