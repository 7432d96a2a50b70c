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
	// EchoMethodHeader and EchoPathHeader repeat the request line.
	EchoMethodHeader = "Echo-Method"
	EchoPathHeader   = "Echo-Path"
	// EchoDigestTrailer is the xxhash of the response body in hex.
	EchoDigestTrailer = "Echo-Digest"
	// EchoTrailerPrefix begins the names of the response trailers that repeat
	// those of the request.
	EchoTrailerPrefix = "Echo-Trailer-"
)

// ServiceConfig holds the speed of a plain service.
type ServiceConfig struct {
	Name string
	// Slots is the number of requests that run at once; more are refused with
	// 503. 0 sets no limit.
	Slots int
	// Work is the time that a request takes.
	Work time.Duration
	// History records what the service does. Without one the service makes
	// its own.
	History *History
}

// Service is one instance of a plain HTTP service. It responds with the body
// of the request; the query parameter status sets the status code.
type Service struct {
	cfg     ServiceConfig
	history *History
	*faultSwitch

	mu      sync.Mutex
	running int
	leaving bool
}

// NewService returns a service.
func NewService(cfg ServiceConfig) *Service {
	if cfg.History == nil {
		cfg.History = NewHistory()
	}
	return &Service{cfg: cfg, history: cfg.History, faultSwitch: newFaultSwitch()}
}

// Name returns the endpoint name.
func (s *Service) Name() string { return s.cfg.Name }

// History returns the record of what the service did. A request runs at the
// moment at which its whole body has been read.
func (s *Service) History() *History { return s.history }

// Faults returns the faults that are switched on.
func (s *Service) Faults() Faults {
	f, _ := s.get()
	return f
}

// SetFaults replaces the faults. DelayOrder delays the effect of a request;
// LoseAnswer drops the connection after it.
func (s *Service) SetFaults(f Faults) { s.set(f) }

// SetLeaving changes the leaving mark in responses.
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
	leaving, entered := s.enter()
	if leaving {
		w.Header().Set(LeavingHeader, "true")
	}
	if entered {
		defer s.leave()
	}
	if f.Refuse || !entered {
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
	s.history.run(Run{ID: r.Header.Get(RequestIDHeader), Endpoint: s.cfg.Name, Method: r.Method, Path: r.URL.Path})
	if err := s.sleep(ctx, s.cfg.Work); err != nil {
		s.history.count(&s.history.cancelled)
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

func (s *Service) enter() (leaving, entered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Slots > 0 && s.running >= s.cfg.Slots {
		return s.leaving, false
	}
	s.running++
	return s.leaving, true
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
