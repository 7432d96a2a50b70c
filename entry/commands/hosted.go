package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/caarlos0/env/v11"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"tamarackknot.example/tamarackknot/entry/guard"
	"tamarackknot.example/tamarackknot/entry/hosted"
	"tamarackknot.example/tamarackknot/locality"
	"tamarackknot.example/tamarackknot/platform"
)

// hostedCommand is the subcommand that runs an entry host on the platform.
const hostedCommand = "hosted"

const (
	maxPort = 65535
	// maxDomainPrice is the price at which a byte between failure domains is worth a second.
	maxDomainPrice = 1e9
)

// hostedOptions holds the settings that are not part of the platform's settings
// file.
type hostedOptions struct {
	LogLevel    string `env:"LOG_LEVEL" envDefault:"info"`
	MetricsPort int    `env:"METRICS_PORT" envDefault:"9100"`
	// DomainPrice is text because errors then name the flag.
	DomainPrice string `env:"DOMAIN_PRICE" envDefault:"0"`
	Limits      guard.Settings
}

// parseHosted returns the configuration of the daemon without the platform's settings, and the
// log level.
func parseHosted(args []string) (c hosted.Config, level log.Level, err error) {
	var o hostedOptions
	if err := env.ParseWithOptions(&o, env.Options{Prefix: "TAMARACKD_"}); err != nil {
		return hosted.Config{}, 0, errors.Wrap(err, "environment")
	}
	p := flaggy.NewParser("tamarackd " + hostedCommand)
	p.Description = "serves callers on the platform; the addresses come from its settings file"
	p.DisableShowVersionWithVersion()
	p.ShowCompletion = false
	p.String(&o.LogLevel, "l", "logLevel", "debug, info, warn or error (TAMARACKD_LOG_LEVEL)")
	// The port is parsed here because flaggy's error for a value that is not a
	// number does not contain the flag.
	port := strconv.Itoa(o.MetricsPort)
	p.String(&port, "m", "metricsPort", "port of the metrics page, 0 to 65535; 0 disables it (TAMARACKD_METRICS_PORT)")
	p.String(&o.DomainPrice, "p", "domainPrice", "seconds of delay of one request that a gigabyte between failure domains is worth, 0 to 1e9; 0 for no price (TAMARACKD_DOMAIN_PRICE)")
	o.Limits.AddFlags(p)
	if err := p.ParseArgs(args); err != nil {
		return hosted.Config{}, 0, errors.Wrap(err, "flags")
	}
	c.MetricsPort, err = strconv.Atoi(port)
	if err != nil || c.MetricsPort < 0 || c.MetricsPort > maxPort {
		return hosted.Config{}, 0, fmt.Errorf("--metricsPort: %q is not a port from 0 to %d", port, maxPort)
	}
	price, err := strconv.ParseFloat(o.DomainPrice, 64)
	if err != nil || !(price >= 0 && price <= maxDomainPrice) {
		return hosted.Config{}, 0, fmt.Errorf("--domainPrice: %q is not a number from 0 to %g", o.DomainPrice, maxDomainPrice)
	}
	if err := o.Limits.Check(); err != nil {
		return hosted.Config{}, 0, err
	}
	c.DomainPrice, c.Limits = locality.Price(price), o.Limits
	level, err = log.ParseLevel(o.LogLevel)
	return c, level, errors.Wrapf(err, "--logLevel: %q", o.LogLevel)
}

// runHosted runs the daemon until SIGTERM or SIGINT and returns the exit code of
// the process.
func runHosted(args []string, stdout, stderr io.Writer) int {
	cfg, level, err := parseHosted(args)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "tamarackd:", err)
		return exitUsage
	}
	s, err := platform.ReadSettings()
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "tamarackd:", err)
		return exitUsage
	}
	w := hosted.NewLogWriter(stdout)
	logCtx, stopLog := context.WithCancel(context.Background())
	go w.Run(logCtx)
	defer w.Wait()
	defer stopLog()
	logger := log.NewWithOptions(w, log.Options{
		Level: level, Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: timeFormat, Fields: []any{"host", s.Host},
	})
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go reloader{signals: reload, logger: logger, settings: s}.run()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	cfg.Settings, cfg.Logger = s, logger
	if err := hosted.New(cfg).Serve(ctx); err != nil {
		logger.Error("stopped", "error", err)
		return exitFailed
	}
	return exitOK
}

// reloader reads the settings file again on SIGHUP and logs whether it has changed.
type reloader struct {
	signals  <-chan os.Signal
	logger   *log.Logger
	settings platform.SiteSettings
}

// run handles signals until the channel is closed. Settings are never changed in
// a running process; changes take effect at the next start.
func (l reloader) run() {
	for range l.signals {
		s, err := platform.ReadSettings()
		switch {
		case err != nil:
			l.logger.Error("cannot reload settings, keeping the current ones", "error", err)
		case s != l.settings:
			l.logger.Warn("settings changed, restart required to apply them")
		default:
			l.logger.Info("settings reloaded, unchanged")
		}
	}
}
