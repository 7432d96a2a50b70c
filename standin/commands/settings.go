package commands

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/caarlos0/env/v11"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// envPrefix is the prefix of the environment variables.
const envPrefix = "TAMARACKSTANDIN_"

// settings holds the options as text and as parsed values. A flag overrides its
// environment variable.
type settings struct {
	Listen         string   `env:"LISTEN"`
	EndpointIP     string   `env:"ENDPOINT_IP"`
	Engines        []string `env:"ENGINES" envSeparator:";"`
	Services       []string `env:"SERVICES" envSeparator:";"`
	LogLevel       string   `env:"LOG_LEVEL"`
	HostListLag    string   `env:"HOST_LIST_LAG"`
	ReportLag      string   `env:"REPORT_LAG"`
	LogRetention   string   `env:"LOG_RETENTION"`
	LogAppendDelay string   `env:"LOG_APPEND_DELAY"`
	LoadsPerSecond string   `env:"LOADS_PER_SECOND"`
	LoadsAtOnce    string   `env:"LOADS_AT_ONCE"`
	MemoryPerGB    string   `env:"MEMORY_PER_GB"`
	DiskPerGB      string   `env:"DISK_PER_GB"`
	RemotePerGB    string   `env:"REMOTE_PER_GB"`
	Unload         string   `env:"UNLOAD"`
	HostMemoryMB   string   `env:"HOST_MEMORY_MB"`
	DiskMB         string   `env:"DISK_MB"`
	FirstToken     string   `env:"FIRST_TOKEN"`
	PerToken       string   `env:"PER_TOKEN"`
	ServiceWork    string   `env:"SERVICE_WORK"`

	// Parsed values, set by validate.
	listen         netip.AddrPort
	endpointIP     netip.Addr
	engines        []engineGroup
	services       []serviceGroup
	level          log.Level
	hostListLag    time.Duration
	reportLag      time.Duration
	logRetention   time.Duration
	logAppendDelay time.Duration
	loadsPerSecond float64
	loadsAtOnce    int64
	memoryPerGB    time.Duration
	diskPerGB      time.Duration
	remotePerGB    time.Duration
	unload         time.Duration
	hostMemoryMB   int64
	diskMB         int64
	firstToken     time.Duration
	perToken       time.Duration
	serviceWork    time.Duration
}

func defaultSettings() *settings {
	return &settings{
		Listen:         "127.0.0.1:9000",
		EndpointIP:     "127.0.0.1",
		LogLevel:       "info",
		HostListLag:    "2s",
		ReportLag:      "500ms",
		LogRetention:   "1h",
		LogAppendDelay: "2ms",
		LoadsPerSecond: "4",
		LoadsAtOnce:    "4",
		MemoryPerGB:    "10ms",
		DiskPerGB:      "50ms",
		RemotePerGB:    "200ms",
		Unload:         "200ms",
		HostMemoryMB:   "131072",
		DiskMB:         "524288",
		FirstToken:     "100ms",
		PerToken:       "20ms",
		ServiceWork:    "50ms",
	}
}

// parseSettings reads the options from the environment and the flags and
// validates them.
func parseSettings(args []string, environment map[string]string) (*settings, error) {
	s := defaultSettings()
	if err := env.ParseWithOptions(s, env.Options{Prefix: envPrefix, Environment: environment}); err != nil {
		return nil, errors.Wrap(err, "environment")
	}
	engines, services := s.Engines, s.Services
	s.Engines, s.Services = nil, nil
	if err := s.parser().ParseArgs(args); err != nil {
		return nil, err
	}
	if s.Engines == nil {
		s.Engines = engines
	}
	if s.Services == nil {
		s.Services = services
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *settings) parser() *flaggy.Parser {
	p := flaggy.NewParser("tamarackstandin")
	p.Description = "Simulates the platform (log, host list, weight store), model engines and plain services."
	p.AdditionalHelpAppend = "Each option can also be set in the environment: --hostListLag is " + envPrefix + "HOST_LIST_LAG.\n" +
		"Groups in " + envPrefix + "ENGINES and " + envPrefix + "SERVICES are separated by semicolons."
	p.DisableShowVersionWithVersion()
	p.ShowCompletion = false
	p.String(&s.Listen, "", "listen", "IP:port of the platform")
	p.String(&s.EndpointIP, "", "endpointIP", "IP of all endpoints")
	p.StringSlice(&s.Engines, "", "engines", "group of engines, repeatable: "+engineGroupFormat)
	p.StringSlice(&s.Services, "", "services", "group of plain service instances, repeatable: "+serviceGroupFormat)
	p.String(&s.LogLevel, "", "logLevel", "debug, info, warn or error")
	p.String(&s.HostListLag, "", "hostListLag", "delay before the host list shows a change")
	p.String(&s.ReportLag, "", "reportLag", "delay before the reports of engines show a change")
	p.String(&s.LogRetention, "", "logRetention", "how long log records are kept; 0s keeps them forever")
	p.String(&s.LogAppendDelay, "", "logAppendDelay", "duration of an append to the log")
	p.String(&s.LoadsPerSecond, "", "loadsPerSecond", "rate limit of each deployment's weight store")
	p.String(&s.LoadsAtOnce, "", "loadsAtOnce", "concurrent loads at full speed of each deployment's weight store")
	p.String(&s.MemoryPerGB, "", "memoryPerGB", "load time of 1024 MB from host memory")
	p.String(&s.DiskPerGB, "", "diskPerGB", "load time of 1024 MB from disk")
	p.String(&s.RemotePerGB, "", "remotePerGB", "load time of 1024 MB from the weight store")
	p.String(&s.Unload, "", "unload", "duration of an unload")
	p.String(&s.HostMemoryMB, "", "hostMemoryMB", "size in MB of each engine's checkpoint cache in host memory")
	p.String(&s.DiskMB, "", "diskMB", "size in MB of each engine's checkpoint cache on disk")
	p.String(&s.FirstToken, "", "firstToken", "time to the first token")
	p.String(&s.PerToken, "", "perToken", "time between tokens")
	p.String(&s.ServiceWork, "", "serviceWork", "duration of a request to a plain service")
	return p
}

// Upper limits of the options.
const (
	maxDelay    = time.Hour
	maxMemoryMB = 1 << 30
	maxRate     = 1e6
)

func (s *settings) validate() error {
	c := &checker{}
	s.listen = c.addrPort("listen", s.Listen)
	s.endpointIP = c.ip("endpointIP", s.EndpointIP)
	s.level = c.level("logLevel", s.LogLevel)
	s.hostListLag = c.duration("hostListLag", s.HostListLag, maxDelay)
	s.reportLag = c.duration("reportLag", s.ReportLag, maxDelay)
	s.logRetention = c.duration("logRetention", s.LogRetention, 365*24*time.Hour)
	s.logAppendDelay = c.duration("logAppendDelay", s.LogAppendDelay, maxDelay)
	s.loadsPerSecond = c.float("loadsPerSecond", s.LoadsPerSecond, 0.001, maxRate)
	s.loadsAtOnce = c.int("loadsAtOnce", s.LoadsAtOnce, 1, maxRate)
	s.memoryPerGB = c.duration("memoryPerGB", s.MemoryPerGB, maxDelay)
	s.diskPerGB = c.duration("diskPerGB", s.DiskPerGB, maxDelay)
	s.remotePerGB = c.duration("remotePerGB", s.RemotePerGB, maxDelay)
	s.unload = c.duration("unload", s.Unload, maxDelay)
	s.hostMemoryMB = c.int("hostMemoryMB", s.HostMemoryMB, 0, maxMemoryMB)
	s.diskMB = c.int("diskMB", s.DiskMB, 0, maxMemoryMB)
	s.firstToken = c.duration("firstToken", s.FirstToken, maxDelay)
	s.perToken = c.duration("perToken", s.PerToken, maxDelay)
	s.serviceWork = c.duration("serviceWork", s.ServiceWork, maxDelay)
	for _, text := range s.Engines {
		s.engines = append(s.engines, c.engineGroup("engines", text))
	}
	for _, text := range s.Services {
		s.services = append(s.services, c.serviceGroup("services", text))
	}
	if c.err == nil {
		s.checkUnique(c)
	}
	return c.err
}

// checkUnique rejects endpoints whose name is reserved or in use, and endpoints
// whose port another endpoint or the platform uses.
func (s *settings) checkUnique(c *checker) {
	type use struct{ option, group string }
	names := map[string]use{"log": {}, "hosts": {}, storeName: {}}
	ports := make(map[uint16]use)
	if s.listen.Addr() == s.endpointIP {
		ports[s.listen.Port()] = use{"listen", s.Listen}
	}
	add := func(option string, g endpointGroup) {
		for i := range g.count {
			if _, ok := names[g.endpointName(i)]; ok {
				c.fail(option, g.text, fmt.Sprintf("a name whose endpoint %q is not in use", g.endpointName(i)))
			}
			if other, ok := ports[g.endpointPort(i)]; ok {
				c.fail(option, g.text, fmt.Sprintf("ports other than %d, which --%s %s uses", g.endpointPort(i), other.option, other.group))
			}
			names[g.endpointName(i)] = use{option, g.text}
			ports[g.endpointPort(i)] = use{option, g.text}
		}
	}
	for _, g := range s.engines {
		add("engines", g.endpointGroup)
	}
	for _, g := range s.services {
		add("services", g.endpointGroup)
	}
}

// checker parses option values and keeps the first error.
type checker struct {
	err error
}

func (c *checker) fail(option, value, allowed string) {
	if c.err != nil {
		return
	}
	c.err = fmt.Errorf("option --%s is %q: allowed is %s", option, value, allowed)
}

func (c *checker) addrPort(option, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		c.fail(option, text, "IP:port with a port from 1 to 65535")
	}
	return a
}

func (c *checker) ip(option, text string) netip.Addr {
	a, err := netip.ParseAddr(text)
	if err != nil {
		c.fail(option, text, "an IP")
	}
	return a
}

func (c *checker) level(option, text string) log.Level {
	l, err := log.ParseLevel(strings.ToLower(text))
	if err != nil {
		c.fail(option, text, "debug, info, warn or error")
	}
	return l
}

func (c *checker) duration(option, text string, maxValue time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > maxValue {
		c.fail(option, text, fmt.Sprintf("a duration with unit, as 250ms, from 0s to %s", maxValue))
	}
	return d
}
