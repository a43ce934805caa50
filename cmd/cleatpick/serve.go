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
	Check    bool   `help:"Check the settings and end."`
}

// Run works as a controller until it is ended.
func (s *serveCmd) Run() error {
	cfg, err := config.Load(s.Config, s.Operator)
	if err != nil {
		return usage{err}
	}
	level, err := logLevel(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return usage{err}
	}
	if s.Check {
		fmt.Println("settings are sound")
		return nil
	}
	// The machines are small: the collector is told how much there is.
	// Well below that it may take its time, since the core is small too.
	debug.SetGCPercent(200)
	debug.SetMemoryLimit(int64(cfg.Cluster.Limits.RAMMB * 0.6 * (1 << 20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := node.New(cfg, log).Run(ctx); err != nil && ctx.Err() == nil {
		log.Error("ended", "err", err)
		return errors.New("ended by an error, which the log tells")
	}
	return nil
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
