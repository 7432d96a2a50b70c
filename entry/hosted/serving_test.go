package hosted

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"tamarackknot.example/tamarackknot/ingress"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	plainTime = 30 * time.Millisecond
	// restartTime is how long an endpoint that crashed is away.
	restartTime  = 4 * time.Second
	prefillTime  = 100 * time.Millisecond
	eventPause   = 50 * time.Millisecond
	answerEvents = 5
	callTimeout  = 5 * time.Second
)

// servingRequest is what a caller asks for.
type servingRequest struct {
	path, body string
	parts      []string // of the prompt; nil for the plain service
}

// plain reports whether the request is for the plain service.
func (r servingRequest) plain() bool { return strings.HasPrefix(r.path, plainPrefix) }

// service returns the service of the request.
func (r servingRequest) service() string {
	if r.plain() {
		return plainService
	}
	return engineService
}

// workTime is how long a request takes a slot: until its last event is sent, before the
// host can send another one.
func workTime(service string) time.Duration {
	if service == plainService {
		return plainTime
	}
	return prefillTime + (answerEvents-1)*eventPause
}

// serving runs a cluster whose hosts serve callers over connections to endpoints that
// answer, and that crash when they begin to answer a crashing request.
type serving struct {
	size    clusterSize // zero means smallServingSize
	c       *cluster
	crashes func(r servingRequest) bool
	plain   bool // there is a plain service
	// crashEvents is the number of events that an endpoint sends before it crashes.
	crashEvents int
	// behave lets an endpoint say something of itself and reports whether it declines the
	// request, or falls over. Nil means that all serve.
	behave func(s *serving, endpoint, host string, w http.ResponseWriter) (declines, falls bool)

	mu       sync.Mutex
	servers  map[string]*ingress.Server // by host
	ends     []servingEnd               // crashes of endpoints
	arrivals []servingArrival           // of crashing requests
	calls    []servingCall
	requests map[string]int // by endpoint
	isolated []string       // hosts that reach no endpoint
	nextID   int
}

// servingEnd is a crash of an endpoint under a request.
type servingEnd struct {
	at   time.Time
	body string // of the request
}

// servingArrival is a crashing request that reached an endpoint.
type servingArrival struct {
	at      time.Time
	body    string
	inTouch bool // the host that sent it
}

// servingCall is a request of a caller.
type servingCall struct {
	kind, host string
	at         time.Time
	inTouch    bool
	servable   bool // some host in touch reached endpoints
	began      bool // an event was received
	complete   bool
	status     int
}

// startServing starts the cluster. loops run for each process of a host.
func startServing(s *serving, output io.Writer, loops ...func(context.Context, *serving, *clusterHost)) (*serving, context.CancelFunc) {
	s.servers, s.requests = make(map[string]*ingress.Server), make(map[string]int)
	built := make(chan struct{})
	if s.size.hosts == 0 {
		s.size = smallServingSize()
	}
	c, cancel := startCluster(s.size, true, output, func(ctx context.Context, h *clusterHost) {
		<-built
		server := h.newCallerServer(metrics.NewRegistry())
		s.mu.Lock()
		s.servers[h.name] = server
		s.mu.Unlock()
		s.serveCallers(ctx, h, server)
		var running sync.WaitGroup
		for _, loop := range loops {
			running.Go(func() { loop(ctx, s, h) })
		}
		running.Wait()
	})
	s.c = c
	c.quiet = true // only the requests of the trial
	if s.plain {
		for i := range s.size.plain {
			c.startReplica(fmt.Sprintf("%s%d", plainService, s.size.engines+i))
		}
		c.mu.Lock()
		c.plain = true
		c.mu.Unlock()
		c.configure()
	}
	for _, r := range c.replicas {
		s.serve(r)
	}
	close(built)
	return s, cancel
}

// serveCallers serves connections from other hosts until ctx ends.
func (s *serving) serveCallers(ctx context.Context, h *clusterHost, handler http.Handler) {
	l, err := s.c.network.Host(h.name).Listen(ctx, h.self.Address)
	for err != nil {
		// The process before this one is about to close its listener.
		if !wait.For(ctx, 10*time.Millisecond) {
			return
		}
		l, err = s.c.network.Host(h.name).Listen(ctx, h.self.Address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	s.c.wg.Go(func() { _ = server.Serve(l) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
}

// netName returns the name of a start of an endpoint in the network.
func netName(r *replica) string { return fmt.Sprintf("%s.%d", r.id, r.born.UnixMilli()) }

// serve serves a start of an endpoint until it crashes.
func (s *serving) serve(r *replica) {
	l, err := s.c.network.Host(netName(r)).Listen(s.c.ctx, r.address)
	if err != nil {
		panic(err)
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute}
	var once sync.Once
	crash := func(body string) { once.Do(func() { s.crash(r, server, body) }) }
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { s.answer(r, w, req, crash) })
	s.c.wg.Go(func() { _ = server.Serve(l) })
	context.AfterFunc(s.c.ctx, func() { _ = server.Close() })
}

// crash ends a start of an endpoint under a request; the next one follows after restartTime.
func (s *serving) crash(r *replica, server *http.Server, body string) {
	s.mu.Lock()
	s.ends = append(s.ends, servingEnd{time.Now(), body})
	s.mu.Unlock()
	r.mu.Lock()
	r.state = ""
	r.mu.Unlock()
	s.c.network.Kill(netName(r))
	s.c.wg.Go(func() {
		_ = server.Close()
		if !wait.For(s.c.ctx, restartTime) {
			return
		}
		s.c.startReplica(r.id)
		s.c.mu.Lock()
		next := s.c.replicas[r.id]
		s.c.mu.Unlock()
		s.serve(next)
	})
}

// answer streams an answer.
func (s *serving) answer(r *replica, w http.ResponseWriter, req *http.Request, crash func(body string)) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.requests[r.id]++
	s.mu.Unlock()
	w.Header().Set("X-Request-Id", req.Header.Get("X-Request-Id"))
	if s.behave != nil {
		declines, falls := s.behave(s, r.id, req.Header.Get("Sender"), w)
		switch {
		case falls:
			crash(string(body))
			panic(http.ErrAbortHandler)
		case declines:
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	asked := servingRequest{path: req.URL.Path, body: string(body)}
	for _, part := range strings.Split(req.Header.Get("X-Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(part, ":")
		asked.parts = append(asked.parts, id)
	}
	bad := s.crashes != nil && s.crashes(asked)
	if bad {
		s.mu.Lock()
		s.arrivals = append(s.arrivals, servingArrival{time.Now(), asked.body, s.inTouch(req.Header.Get("Sender"))})
		s.mu.Unlock()
	}
	work := prefillTime
	if asked.plain() {
		work = plainTime
	}
	if !wait.For(req.Context(), work) {
		return
	}
	if bad && s.crashEvents == 0 {
		crash(asked.body)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Stamp", "s")
	if asked.plain() {
		_, _ = io.WriteString(w, plainAnswer)
		return
	}
	first := 0
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i < answerEvents; i++ {
		if bad && i == s.crashEvents {
			crash(asked.body)
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", i); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		if !wait.For(req.Context(), eventPause) {
			return
		}
	}
}

// plainAnswer is what endpoints of the plain service answer.
const plainAnswer = "found"

// received returns the number of requests that an endpoint got.
func (s *serving) received(endpoint string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[endpoint]
}

// busiest returns the endpoint that got the most requests.
func (s *serving) busiest() *replica {
	var out *replica
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	for _, r := range s.c.replicas {
		if out == nil || s.received(r.id) > s.received(out.id) {
			out = r
		}
	}
	return out
}

// inTouch reports whether a host was undisturbed for adaptTime.
func (s *serving) inTouch(name string) bool {
	h := s.c.host(name)
	return h != nil && !h.disturbedSince(time.Now().Add(-adaptTime))
}

// servable reports whether some host in touch reaches endpoints.
func (s *serving) servable() bool {
	s.mu.Lock()
	isolated := s.isolated
	s.mu.Unlock()
	s.c.mu.Lock()
	names := slices.Collect(maps.Keys(s.c.hosts))
	s.c.mu.Unlock()
	return slices.ContainsFunc(names, func(name string) bool { return !slices.Contains(isolated, name) && s.inTouch(name) })
}

// send sends a caller's request to a host and records the outcome. A prompt gets a part of
// its own beside those of the request.
func (s *serving) send(ctx context.Context, host, kind string, r servingRequest) servingCall {
	s.mu.Lock()
	s.nextID++
	id, server := fmt.Sprintf("r%d", s.nextID), s.servers[host]
	s.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(callTimeout))
	defer cancel()
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://a"+r.path, strings.NewReader(r.body))
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	if !r.plain() {
		req.Header.Set("X-Model", modelName(0))
		req.Header.Set("X-Prompt-Prefix", strings.Join(append(slices.Clone(r.parts), id), ":100,")+":100")
	}
	req.Header.Set("Sender", host)
	out := servingCall{kind: kind, host: host, at: time.Now(), inTouch: s.inTouch(host), servable: s.servable()}
	w := httptest.NewRecorder()
	func() {
		defer func() {
			if err := recover(); err != nil && err != http.ErrAbortHandler { //nolint:errorlint // net/http compares it so
				panic(err)
			}
		}()
		server.ServeHTTP(w, req)
	}()
	events := strings.Count(w.Body.String(), "id: ")
	out.status, out.began, out.complete = w.Code, events > 0, events == answerEvents
	if r.plain() {
		out.began = w.Code == http.StatusOK && w.Body.String() == plainAnswer
		out.complete = out.began
	}
	s.mu.Lock()
	s.calls = append(s.calls, out)
	s.mu.Unlock()
	return out
}

// share returns the share of the calls that began to be answered, of the kind, sent
// within the time at hosts in touch for which match is true, and their number. Requests
// that nobody could serve, since no host in touch reached endpoints, don't count.
func (s *serving) share(kind string, from, to time.Time, match func(host string) bool) (began float64, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, call := range s.calls {
		if call.kind != kind || !call.inTouch || !call.servable || call.at.Before(from) || !call.at.Before(to) || match != nil && !match(call.host) {
			continue
		}
		n++
		if call.began {
			count++
		}
	}
	return float64(count) / float64(max(n, 1)), n
}

// stopServing ends the cluster.
func (s *serving) stop(cancel context.CancelFunc) {
	cancel()
	s.c.wg.Wait()
	s.c.peers.Wait()
}
