package fake

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Headers of the responses of a service.
const (
	// EchoMethodHeader and EchoPathHeader echo the request line.
	EchoMethodHeader = "Echo-Method"
	EchoPathHeader   = "Echo-Path"
	// EchoDigestTrailer is the xxhash of the response body in hex.
	EchoDigestTrailer = "Echo-Digest"
	// EchoTrailerPrefix is the prefix of the response trailers that echo the
	// request trailers.
	EchoTrailerPrefix = "Echo-Trailer-"
)

// ServiceConfig configures the capacity and the timing of a Service.
type ServiceConfig struct {
	Name string
	// Slots is the maximum number of concurrent requests; further ones are
	// rejected with status 503. 0 means no limit.
	Slots int
	// Work is the processing time of a request.
	Work time.Duration
	// History records the requests. If nil, the service creates its own.
	History *History
}

// Service simulates one instance of a plain HTTP service. It echoes the request
// body; the query parameter status sets the status code of the response.
type Service struct {
	cfg     ServiceConfig
	history *History
	*faultInjector

	mu      sync.Mutex
	running int
	leaving bool
}

// NewService returns a service.
func NewService(cfg ServiceConfig) *Service {
	if cfg.History == nil {
		cfg.History = NewHistory()
	}
	return &Service{cfg: cfg, history: cfg.History, faultInjector: newFaultInjector()}
}

// Name returns the endpoint name.
func (s *Service) Name() string { return s.cfg.Name }

// History returns the record of the requests. A request counts as run once its
// complete body has been read.
func (s *Service) History() *History { return s.history }

// Faults returns the active faults.
func (s *Service) Faults() Faults {
	f, _ := s.get()
	return f
}

// SetFaults replaces the active faults. DelayOrder delays the execution of a
// request; LoseAnswer closes the connection after it.
func (s *Service) SetFaults(f Faults) { s.set(f) }

// SetLeaving sets whether responses carry LeavingHeader.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// ServeHTTP serves any method and path.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := s.bind(r.Context())
	defer cancel()
	r = s.receive(ctx, r)
	f, _ := s.get()
	leaving, accepted := s.acquireSlot()
	if leaving {
		w.Header().Set(LeavingHeader, "true")
	}
	if accepted {
		defer s.releaseSlot()
	}
	if f.Refuse || !accepted {
		writeNotRun(w, http.StatusServiceUnavailable, "refused", "service refuses requests")
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		abort()
	}
	if err := s.sleep(ctx, f.DelayOrder); err != nil {
		abort()
	}
	s.history.recordRun(Run{ID: r.Header.Get(RequestIDHeader), Endpoint: s.cfg.Name, Method: r.Method, Path: r.URL.Path})
	if err := s.sleep(ctx, s.cfg.Work); err != nil {
		s.history.increment(&s.history.cancelled)
		abort()
	}
	if f, _ := s.get(); f.LoseAnswer {
		abort()
	}
	s.echo(w, r, body)
}

func (s *Service) echo(w http.ResponseWriter, r *http.Request, body []byte) {
	status, err := strconv.Atoi(r.URL.Query().Get("status"))
	if err != nil || status < 200 || status > 599 {
		status = http.StatusOK
	}
	h := w.Header()
	h.Set(EchoMethodHeader, r.Method)
	h.Set(EchoPathHeader, r.URL.RequestURI())
	if t := r.Header.Get("Content-Type"); t != "" {
		h.Set("Content-Type", t)
	} else {
		h.Set("Content-Type", "application/octet-stream")
	}
	h.Add("Trailer", EchoDigestTrailer)
	for name := range r.Trailer {
		h.Add("Trailer", EchoTrailerPrefix+name)
	}
	w.WriteHeader(status)
	if err := s.writeBody(w, body); err != nil {
		return
	}
	h.Set(EchoDigestTrailer, fmt.Sprintf("%016x", xxhash.Sum64(body)))
	for name, values := range r.Trailer {
		h[EchoTrailerPrefix+name] = values
	}
}

// acquireSlot takes a request slot; accepted is false if none is free.
func (s *Service) acquireSlot() (leaving, accepted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Slots > 0 && s.running >= s.cfg.Slots {
		return s.leaving, false
	}
	s.running++
	return s.leaving, true
}

func (s *Service) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
