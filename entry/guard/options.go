package guard

import (
	"fmt"
	"strconv"
	"time"

	"github.com/integrii/flaggy"
)

const (
	// maxMB and maxOpen are above any host; maxTimeoutMs is the longest deadline of a request.
	maxMB        = 1 << 20
	maxOpen      = 1 << 20
	maxTimeoutMs = 600_000
)

// Settings are the settings with which both modes of the daemon change the limits of a host.
type Settings struct {
	HeldMB          int `env:"HELD_MB"`
	MaxConnections  int `env:"MAX_CONNECTIONS"`
	BodyTimeoutMs   int `env:"BODY_TIMEOUT_MS" envDefault:"10000"`
	AnswerTimeoutMs int `env:"ANSWER_TIMEOUT_MS" envDefault:"10000"`

	texts []string // of the flags, in the order of options
}

// option is a setting with its flag, range and help text.
type option struct {
	value     *int
	flag      string
	low, high int
	help      string
}

func (s *Settings) options() []option {
	return []option{
		{&s.HeldMB, "heldMB", 0, maxMB, "memory in MB held for callers and other hosts; 0 is 0.3 of the host's (TAMARACKD_HELD_MB)"},
		{&s.MaxConnections, "maxConnections", 0, maxOpen, "open connections on all addresses but that for other hosts; 0 is 0.36 of the descriptors (TAMARACKD_MAX_CONNECTIONS)"},
		{&s.BodyTimeoutMs, "bodyTimeoutMs", 1, maxTimeoutMs, "milliseconds without a byte of a request's body (TAMARACKD_BODY_TIMEOUT_MS)"},
		{&s.AnswerTimeoutMs, "answerTimeoutMs", 1, maxTimeoutMs, "milliseconds in which a caller reads nothing of an answer (TAMARACKD_ANSWER_TIMEOUT_MS)"},
	}
}

// AddFlags adds the flags to a parser. flaggy's error for a value that is not a number does not
// contain the flag, so that Check parses the texts.
func (s *Settings) AddFlags(p *flaggy.Parser) {
	options := s.options()
	s.texts = make([]string, len(options))
	for i, o := range options {
		s.texts[i] = strconv.Itoa(*o.value)
		p.String(&s.texts[i], "", o.flag, fmt.Sprintf("%s, %d to %d", o.help, o.low, o.high))
	}
}

// Check takes the flags over. The error names the flag of an invalid setting.
func (s *Settings) Check() error {
	for i, o := range s.options() {
		n, err := strconv.Atoi(s.texts[i])
		if err != nil || n < o.low || n > o.high {
			return fmt.Errorf("--%s: %q is not a whole number from %d to %d", o.flag, s.texts[i], o.low, o.high)
		}
		*o.value = n
	}
	return nil
}

// Options returns the limits of a host.
func (s *Settings) Options(memoryMB, descriptors int) Options {
	return Options{
		MemoryMB: memoryMB, HeldMB: s.HeldMB, Descriptors: descriptors, MaxConnections: s.MaxConnections,
		BodyTimeout:   time.Duration(s.BodyTimeoutMs) * time.Millisecond,
		AnswerTimeout: time.Duration(s.AnswerTimeoutMs) * time.Millisecond,
	}
}
