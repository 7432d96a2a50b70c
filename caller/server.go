// Package caller serves the HTTP API for callers. It forwards requests on
// OpenAI-compatible routes to model engines and requests for plain services to
// their endpoints. A request that is not repeatable runs at most once; an error
// response says whether the request has run.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/endpoint"
	"tamarackknot.example/tamarackknot/internal/headcheck"
	"tamarackknot.example/tamarackknot/internal/timedread"
	"tamarackknot.example/tamarackknot/routing"
)

// Address is the address of an entry host to which callers may connect.
type Address struct {
	Address       string `json:"address"` // IP:port
	FailureDomain string `json:"failureDomain"`
	// KeepUntil is when the entry expires and a caller must request the list
	// again.
	KeepUntil time.Time `json:"keepUntil"`
}

// Addresses selects the entry hosts that are listed to callers.
type Addresses interface {
	// Addresses returns entry hosts in order of preference for a caller in a
	// failure domain, which is empty if the caller specified none. The order
	// differs between callers to distribute their load.
	Addresses(failureDomain, caller string) []Address
}

// GateState says whether this host may serve requests, and if not, why.
type GateState string

// Values of GateState. A draining host still serves requests.
const (
	GateReady    GateState = "ready"
	GateNotReady GateState = "notReady" // the host has not read the whole state yet
	GateStale    GateState = "stale"    // disconnected from the log and from peers with a newer state
	GateDraining GateState = "draining"
)

// Gate reports whether this host may serve requests.
type Gate interface {
	Gate() GateState
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	Journal   tamarackknot.Journal
	Members   tamarackknot.Members
	Router    *routing.Router
	Table     *endpoint.Table
	Addresses Addresses
	Gate      Gate
	Logger    *log.Logger
	// Registry is served on /metrics.
	Registry metrics.Registry
	// DialContext connects to endpoints. Nil means net.Dialer's.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// DefaultTimeout is the time until the deadline of a request without the
	// header Request-Deadline. 0 means 30 s.
	DefaultTimeout time.Duration
	// MaxBody limits a request body, MaxBuffered a response that is received
	// completely before it is relayed, and MaxReplay the responses stored for
	// repeats of keyed requests, all in bytes. 0 means 8 MB, 32 MB and 64 MB.
	MaxBody     int64
	MaxBuffered int
	MaxReplay   int
	// BodyTimeout is how long nothing may arrive of a body; 0 means 10 s.
	BodyTimeout time.Duration
	// Linger lets a caller read the response to a request whose body was not read, and OnRefused
	// records why a request was refused for lack of memory or progress. Both may be nil.
	Linger    func(w http.ResponseWriter, r *http.Request)
	OnRefused func(reason string)
}

// Server is the HTTP handler of the API for callers.
type Server struct {
	cfg          Config
	pooled       *headcheck.Transport // reuses connections; for repeatable requests
	unpooled     *headcheck.Transport // makes a new connection for each request
	keys         *keyStore
	lastID       atomic.Uint64
	pendingFrees sync.WaitGroup
	filters      []filter
	metrics      serverMetrics
}

type serverMetrics struct {
	inFlight metrics.Counter
	bytes    metrics.Counter
	retries  metrics.Counter
	duration metrics.Histogram // of whole requests, in ms
	queued   metrics.Histogram // time until a replica was acquired, in us
}

var _ http.Handler = (*Server)(nil)

// New returns a Server. It starts no goroutines.
func New(cfg Config) *Server {
	if cfg.DialContext == nil {
		cfg.DialContext = (&net.Dialer{}).DialContext
	}
	if cfg.DefaultTimeout == 0 {
		cfg.DefaultTimeout = defaultTimeout
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = 8 << 20
	}
	if cfg.MaxBuffered == 0 {
		cfg.MaxBuffered = 32 << 20
	}
	if cfg.MaxReplay == 0 {
		cfg.MaxReplay = 64 << 20
	}
	if cfg.BodyTimeout == 0 {
		cfg.BodyTimeout = timedread.DefaultTimeout
	}
	if cfg.Linger == nil {
		cfg.Linger = func(http.ResponseWriter, *http.Request) {}
	}
	if cfg.OnRefused == nil {
		cfg.OnRefused = func(string) {}
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	s := &Server{
		cfg:      cfg,
		pooled:   newTransport(cfg.DialContext, true),
		unpooled: newTransport(cfg.DialContext, false),
		keys:     newKeyStore(cfg.MaxReplay),
		// Histograms with the samples of go-metrics' timers. A timer itself needs
		// a goroutine.
		metrics: serverMetrics{
			inFlight: metrics.NewRegisteredCounter("caller.inFlight", cfg.Registry),
			bytes:    metrics.NewRegisteredCounter("caller.bytes", cfg.Registry),
			retries:  metrics.NewRegisteredCounter("caller.retries", cfg.Registry),
			duration: metrics.NewRegisteredHistogram("caller.durationMs", cfg.Registry, newSample()),
			queued:   metrics.NewRegisteredHistogram("caller.queuedUs", cfg.Registry, newSample()),
		},
	}
	s.filters = []filter{
		(*exchange).checkRoute, (*exchange).parseHeaders, (*exchange).checkGate, (*exchange).readBody, (*exchange).resolve,
		(*exchange).replay, (*exchange).acquire, (*exchange).claimKey, (*exchange).forward,
	}
	return s
}

func newSample() metrics.Sample {
	return metrics.NewExpDecaySample(1028, 0.015)
}

// Close closes idle connections and waits until the keys of requests that did not
// run are freed or ctx ends. Call it after http.Server.Shutdown.
func (s *Server) Close(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.pendingFrees.Wait()
		close(done)
	}()
	s.pooled.CloseIdleConnections()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.WriteHeader(http.StatusOK)
	case "/readyz":
		s.serveReady(w)
	case "/metrics":
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WriteOnce(s.cfg.Registry, w)
	case "/v1/entryhosts":
		s.serveEntryHosts(w, r)
	case "/v1/models":
		s.serveModels(w, r)
	default:
		s.serveForwarded(w, r)
	}
}

func (s *Server) serveReady(w http.ResponseWriter) {
	state := s.cfg.Gate.Gate()
	if state != GateReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = fmt.Fprintln(w, state)
}

// Refuse responds to a request that this host has no memory for. The request does not run.
func (s *Server) Refuse(w http.ResponseWriter, _ string) {
	now := time.Now()
	overloaded(now).write(w, now)
}

func requireGet(w http.ResponseWriter, r *http.Request) bool {
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return true
	}
	methodNotAllowed(r, "GET, HEAD").write(w, time.Now())
	return false
}

func methodNotAllowed(r *http.Request, allow string) *failure {
	f := invalid("method", r.Method, allow)
	f.status, f.code, f.allow = http.StatusMethodNotAllowed, "methodNotAllowed", allow
	return f
}

type entryHostList struct {
	EntryHosts []Address `json:"entryHosts"`
}

func (s *Server) serveEntryHosts(w http.ResponseWriter, r *http.Request) {
	if !requireGet(w, r) {
		return
	}
	now := time.Now()
	hosts := s.cfg.Addresses.Addresses(r.URL.Query().Get("failureDomain"), r.RemoteAddr)
	if len(hosts) == 0 {
		unavailable("noEntryHosts", "no entry host is known to be ready", now.Add(time.Second)).write(w, now)
		return
	}
	writeJSON(w, entryHostList{EntryHosts: hosts})
}

// modelList is the response body of OpenAI's route for models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"` //nolint:tagliatelle // as in OpenAI's API
}

func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	if !requireGet(w, r) {
		return
	}
	if f := s.gateFailure(time.Now()); f != nil {
		f.write(w, time.Now())
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	s.cfg.Journal.Read(func(st tamarackknot.State) {
		for _, res := range st.Resources(tamarackknot.KindModel) {
			list.Data = append(list.Data, modelItem{
				ID: res.Metadata.Name, Object: "model", OwnedBy: res.Model.Deployment,
			})
		}
		for _, res := range st.Resources(tamarackknot.KindAdapter) {
			list.Data = append(list.Data, modelItem{
				ID: res.Metadata.Name, Object: "model", OwnedBy: res.Adapter.Deployment,
			})
		}
	})
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable for the types used here
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}

// gateFailure returns the failure of a request that this host may not serve, or
// nil if it may.
func (s *Server) gateFailure(now time.Time) *failure {
	switch s.cfg.Gate.Gate() {
	case GateReady, GateDraining:
		return nil
	case GateStale:
		return unavailable("stale", "this entry host is cut off and its configuration may be out of date; "+
			"use another address from /v1/entryhosts", now.Add(time.Second))
	case GateNotReady:
	}
	return unavailable("notReady", "this entry host has not read the configuration yet; "+
		"use another address from /v1/entryhosts", now.Add(time.Second))
}

const chatPath = "/v1/chat/completions"

// route is the destination of a request path.
type route struct {
	plain   bool   // a plain service, otherwise a model engine
	chat    bool   // chat completions
	service string // prefix of the plain service
	path    string // escaped path at the endpoint
}

func parseRoute(r *http.Request) (route, *failure) {
	path := r.URL.EscapedPath()
	switch path {
	case chatPath, "/v1/completions":
		if r.Method != http.MethodPost {
			return route{}, methodNotAllowed(r, http.MethodPost)
		}
		return route{path: path, chat: path == chatPath}, nil
	}
	if rest, ok := strings.CutPrefix(path, "/services/"); ok {
		if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
			return route{}, methodNotAllowed(r, "any but CONNECT and TRACE")
		}
		prefix, tail, _ := strings.Cut(rest, "/")
		return route{plain: true, service: prefix, path: "/" + tail}, nil
	}
	f := invalid("path", path, "/v1/chat/completions, /v1/completions, /v1/models, /v1/entryhosts "+
		"and /services/<prefix>/...")
	f.status, f.code = http.StatusNotFound, "notFound"
	return route{}, f
}
