package ingress

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"tamarackknot.example/tamarackknot/admission"
)

// Reasons for which connections are closed and requests refused, besides the names of the kinds
// of memory.
const (
	reasonDescriptors   = "descriptors"
	reasonEvicted       = "evicted"
	reasonEmptyLines    = "emptyLines"
	reasonHead          = "headBytes"
	reasonHeadTimeout   = "headTimeout"
	reasonPipelined     = "pipelined"
	reasonBodyTimeout   = "bodyTimeout"
	reasonAnswerTimeout = "answerTimeout"
	// ReasonPeer: a message of another host that is too long, late or has no memory.
	ReasonPeer = "peerMessage"
)

// sheddingInterval is the time between two log lines with the same reason.
const sheddingInterval = time.Second

// Shedding counts what is refused and closed to protect the host, by reason, and logs it: one
// line a reason and second. A nil Shedding records nothing.
type Shedding struct {
	registry metrics.Registry
	logger   *log.Logger
	budget   *admission.Budget

	mu     sync.Mutex
	events map[string]*sheddingEvents
}

// sheddingEvents are those with one reason.
type sheddingEvents struct {
	counter  metrics.Counter
	loggedAt time.Time
	count    int // since then
}

// NewShedding returns a Shedding, and registers what is held by kind.
func NewShedding(budget *admission.Budget, registry metrics.Registry, logger *log.Logger) *Shedding {
	for _, k := range admission.Kinds() {
		metrics.NewRegisteredFunctionalGauge("held.bytes."+k.String(), registry, func() int64 { return budget.Used(k) })
	}
	return &Shedding{registry: registry, logger: logger, budget: budget, events: make(map[string]*sheddingEvents)}
}

// Refused records a request that was refused.
func (s *Shedding) Refused(reason string) { s.record("refused", reason) }

// Closed records a connection that was closed, or an attempt at one.
func (s *Shedding) Closed(reason string) { s.record("closed", reason) }

func (s *Shedding) record(action, reason string) {
	if s == nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	name := "shed." + action + "." + reason
	e := s.events[name]
	if e == nil {
		e = &sheddingEvents{counter: metrics.GetOrRegisterCounter(name, s.registry)}
		s.events[name] = e
	}
	e.counter.Inc(1)
	e.count++
	if now.Sub(e.loggedAt) < sheddingInterval {
		return
	}
	fields := []any{"action", action, "reason", reason, "count", e.count}
	for _, k := range admission.Kinds() {
		fields = append(fields, k.String()+"Bytes", s.budget.Used(k))
	}
	s.logger.Warn("protecting this host", fields...)
	e.loggedAt, e.count = now, 0
}
