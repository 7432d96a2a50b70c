// Package commands implements the command line of the entry daemon.
package commands

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"

	"tamarackknot.example/tamarackknot/entry/daemon"
	"tamarackknot.example/tamarackknot/entry/settings"
	"tamarackknot.example/tamarackknot/platform"
)

// Exit codes of the process.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// timeFormat is the time in a log line, RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Run parses the arguments, runs the daemon until SIGTERM or SIGINT and returns
// the exit code of the process.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == hostedCommand {
		return runHosted(args[1:], stdout, stderr)
	}
	s, err := settings.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "tamarackd:", err)
		return exitUsage
	}
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "tamarackd:", err)
		return exitUsage
	}
	logger := log.NewWithOptions(stderr, log.Options{
		Level:           level,
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
		TimeFormat:      timeFormat,
		Fields:          []any{"host", s.Name},
	})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	d := daemon.New(daemon.Config{
		Settings: s,
		Logger:   logger,
		Log:      platform.NewLogClient(platform.Config{Address: s.PlatformAddress}),
		Hosts:    platform.NewHostListClient(platform.Config{Address: s.PlatformAddress}),
	})
	if err := d.Serve(ctx); err != nil {
		logger.Error("stopped", "error", err)
		return exitFailed
	}
	return exitOK
}
