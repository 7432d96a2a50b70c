// Package settings parses and validates the settings of the entry daemon.
package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/caarlos0/env/v11"
	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"tamarackknot.example/tamarackknot/entry/guard"
)

// envPrefix is the prefix of the environment variables in the tags of Settings.
const envPrefix = "TAMARACKD_"

// Settings holds the settings of an entry daemon. Flags take precedence over the
// environment.
type Settings struct {
	Name                  string `env:"NAME"`
	FailureDomain         string `env:"FAILURE_DOMAIN"`
	CallerAddress         string `env:"CALLER_ADDRESS"`
	PeerAddress           string `env:"PEER_ADDRESS"`
	OperatorAddress       string `env:"OPERATOR_ADDRESS"`
	PlatformAddress       string `env:"PLATFORM_ADDRESS"`
	LogLevel              string `env:"LOG_LEVEL" envDefault:"info"`
	LogRetentionSeconds   int    `env:"LOG_RETENTION_SECONDS" envDefault:"86400"`
	ReportIntervalMillis  int    `env:"REPORT_INTERVAL_MILLIS" envDefault:"1000"`
	DefaultTimeoutSeconds int    `env:"DEFAULT_TIMEOUT_SECONDS" envDefault:"30"`
	MaxBodyMB             int    `env:"MAX_BODY_MB" envDefault:"8"`
	ReplayMB              int    `env:"REPLAY_MB" envDefault:"8"`
	MaxQueue              int    `env:"MAX_QUEUE" envDefault:"1024"`
	DrainTimeoutSeconds   int    `env:"DRAIN_TIMEOUT_SECONDS" envDefault:"620"`
	HostMB                int    `env:"HOST_MB"`
	// Limits are those for hostile callers, which both modes of the daemon have.
	Limits guard.Settings
}

// levels returns the accepted log levels.
func levels() []string { return []string{"debug", "info", "warn", "error"} }

// intOption is an integer setting with its flag, allowed range, help text and
// environment variable without prefix.
type intOption struct {
	value    *int
	flag     string
	low      int
	high     int
	help     string
	variable string
}

func (s *Settings) ints() []intOption {
	return []intOption{
		{&s.LogRetentionSeconds, "logRetention", 10, 30 * 86400, "seconds for which the platform's log keeps records", "LOG_RETENTION_SECONDS"},
		{&s.ReportIntervalMillis, "reportInterval", 50, 10000, "milliseconds between two reads of an endpoint's report", "REPORT_INTERVAL_MILLIS"},
		{&s.DefaultTimeoutSeconds, "defaultTimeout", 1, 600, "default deadline of a request in seconds", "DEFAULT_TIMEOUT_SECONDS"},
		{&s.MaxBodyMB, "maxBody", 1, 1024, "largest request body in MB", "MAX_BODY_MB"},
		{&s.ReplayMB, "replay", 1, 1024, "memory in MB for responses kept to answer repeated idempotency keys", "REPLAY_MB"},
		{&s.MaxQueue, "maxQueue", 1, 100000, "maximum number of queued requests per target", "MAX_QUEUE"},
		{&s.HostMB, "hostMB", 0, 1 << 20, "memory of this host in MB, from which that for callers is derived; 0 is 512", "HOST_MB"},
		{&s.DrainTimeoutSeconds, "drainTimeout", 1, 3600, "seconds after SIGTERM until requests still in flight are aborted; the default exceeds the longest request deadline", "DRAIN_TIMEOUT_SECONDS"},
	}
}

// Parse reads the environment and the arguments, without the program's name, and
// validates the result. The error for an invalid setting names its flag.
func Parse(args []string) (Settings, error) {
	var s Settings
	if err := env.ParseWithOptions(&s, env.Options{Prefix: envPrefix}); err != nil {
		return s, errors.Wrap(err, "environment")
	}
	p := flaggy.NewParser("tamarackd")
	p.Description = "serves callers and operators in front of model endpoints. Every flag can also be set in the environment"
	p.DisableShowVersionWithVersion()
	p.ShowCompletion = false
	p.String(&s.Name, "n", "name", "name of this host in the platform's host list (TAMARACKD_NAME)")
	p.String(&s.FailureDomain, "d", "failureDomain", "failure domain of this host (TAMARACKD_FAILURE_DOMAIN)")
	p.String(&s.CallerAddress, "c", "callerAddress", "IP:port for callers (TAMARACKD_CALLER_ADDRESS)")
	p.String(&s.PeerAddress, "p", "peerAddress", "IP:port for other entry hosts (TAMARACKD_PEER_ADDRESS)")
	p.String(&s.OperatorAddress, "o", "operatorAddress", "IP:port for operators (TAMARACKD_OPERATOR_ADDRESS)")
	p.String(&s.PlatformAddress, "a", "platformAddress", "IP:port of the platform's log and host list (TAMARACKD_PLATFORM_ADDRESS)")
	p.String(&s.LogLevel, "l", "logLevel", "debug, info, warn or error (TAMARACKD_LOG_LEVEL)")
	// Numbers are parsed here because flaggy's error for a value that is not a
	// number does not contain the flag.
	ints := s.ints()
	numbers := make([]string, len(ints))
	for i, o := range ints {
		numbers[i] = strconv.Itoa(*o.value)
		p.String(&numbers[i], "", o.flag, fmt.Sprintf("%s, %d to %d (%s%s)", o.help, o.low, o.high, envPrefix, o.variable))
	}
	s.Limits.AddFlags(p)
	if err := p.ParseArgs(args); err != nil {
		return s, errors.Wrap(err, "flags")
	}
	if err := s.Limits.Check(); err != nil {
		return s, err
	}
	for i, o := range ints {
		var err error
		if *o.value, err = strconv.Atoi(numbers[i]); err != nil {
			return s, fmt.Errorf("--%s: %q is not a whole number", o.flag, numbers[i])
		}
	}
	return s, s.check()
}

func (s *Settings) check() error {
	for _, o := range []struct{ flag, value string }{
		{"name", s.Name},
		{"failureDomain", s.FailureDomain},
	} {
		if strings.TrimSpace(o.value) == "" {
			return fmt.Errorf("--%s: empty, a name is required", o.flag)
		}
	}
	for _, o := range []struct{ flag, value string }{
		{"callerAddress", s.CallerAddress},
		{"peerAddress", s.PeerAddress},
		{"operatorAddress", s.OperatorAddress},
		{"platformAddress", s.PlatformAddress},
	} {
		if err := checkAddress(o.value); err != nil {
			return errors.Wrapf(err, "--%s", o.flag)
		}
	}
	if !slices.Contains(levels(), s.LogLevel) {
		return fmt.Errorf("--logLevel: %q is not one of %v", s.LogLevel, levels())
	}
	for _, o := range s.ints() {
		if *o.value < o.low || *o.value > o.high {
			return fmt.Errorf("--%s: %d is not from %d to %d", o.flag, *o.value, o.low, o.high)
		}
	}
	return nil
}

// checkAddress accepts IP:port. The address is advertised to peers and callers
// unchanged, so an unspecified IP or port 0 is rejected.
func checkAddress(s string) error {
	ap, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Errorf("%q is not of the form IP:port", s)
	}
	if ap.Addr().IsUnspecified() || ap.Port() == 0 {
		return fmt.Errorf("%q must name an IP and a port that other hosts can reach", s)
	}
	return nil
}
