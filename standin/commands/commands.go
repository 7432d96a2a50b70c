package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/caarlos0/env/v11"
	"github.com/charmbracelet/log"
)

// Exit codes of the process.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Execute runs the stand-in with the command line args until SIGTERM or SIGINT
// and returns the exit code.
func Execute(args []string) int {
	s, err := parseSettings(args, env.ToMap(os.Environ()))
	if err != nil {
		fmt.Fprintln(os.Stderr, "tamarackstandin:", err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := newLogger(os.Stderr, s.level)
	if err := run(ctx, s, logger); err != nil {
		logger.Error("stand-in failed", "error", err)
		return exitFailed
	}
	logger.Info("stand-in stopped")
	return exitOK
}

func run(ctx context.Context, s *settings, logger *log.Logger) error {
	st := newStandin(s, logger)
	if err := st.listen(ctx); err != nil {
		st.close()
		return err
	}
	return st.run(ctx)
}

func newLogger(w io.Writer, level log.Level) *log.Logger {
	return log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Level:           level,
		Formatter:       log.LogfmtFormatter,
	})
}
