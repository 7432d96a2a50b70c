package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/catalog"
	"tamarackknot.example/tamarackknot/dispatch"
	"tamarackknot.example/tamarackknot/fake"
	"tamarackknot.example/tamarackknot/internal/rapidtest"
	"tamarackknot.example/tamarackknot/origin"
)

const (
	// resumeChecks is the number of random runs in CI.
	resumeChecks   = 60
	resumeHosts    = 4
	resumeStreams  = 40
	streamEvents   = 6
	eventPause     = 150 * time.Millisecond
	listLag        = 400 * time.Millisecond // until a host knows of a change of the endpoints
	callerAttempts = 5
)

func TestMain(m *testing.M) { rapidtest.Main(m, resumeChecks) }

// resumeTrial runs several entry hosts before endpoints of two versions, which mark their
// events with theirs and check nothing, and callers that take broken streams up again.
type resumeTrial struct {
	ctx     context.Context
	network *fake.Network
	peers   *fake.Peers
	catalog *catalog.View
	running sync.WaitGroup

	mu        sync.Mutex
	hosts     map[string]*resumeHost
	endpoints map[string]tamarackknot.EndpointEntry
	started   int // endpoints so far
	mixed     []string
	resumed   int
	wentOn    int
}

// resumeHost is one process of a host.
type resumeHost struct {
	ctx        context.Context
	cancel     context.CancelFunc
	server     *Server
	dispatcher *dispatch.Dispatcher
}

func (r *resumeTrial) startHost(name string) {
	h := &resumeHost{}
	h.ctx, h.cancel = context.WithCancel(r.ctx)
	logger := log.New(io.Discard)
	h.dispatcher = dispatch.New(dispatch.Config{PlannerViewCurrent: func() bool { return false }, Logger: logger})
	origins := origin.New(origin.Config{Peers: r.peers.Host(name), Others: func() []string { return r.otherHosts(name) }, Logger: logger})
	h.server = New(Config{
		Catalog: func() *catalog.View { return r.catalog }, Dispatch: h.dispatcher, Dialect: testDialect{}, Logger: logger, Origins: origins, Crashes: &testCrashes{},
		HostCount: func() int { return 1 }, Dial: r.network.Host(name).Dial,
		Budget: &dispatch.RetryBudget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second, Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) }},
	})
	r.running.Go(func() { h.dispatcher.Run(h.ctx) })
	r.running.Go(func() { origins.Run(h.ctx) })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts[name] = h
	h.list(r.endpoints)
}

// list gives the host the list of endpoints.
func (h *resumeHost) list(endpoints map[string]tamarackknot.EndpointEntry) {
	h.dispatcher.SetEndpoints(maps.Clone(endpoints), map[string][]string{"s": slices.Sorted(maps.Keys(endpoints))}, true)
}

func (r *resumeTrial) otherHosts(name string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(r.hosts)), func(other string) bool { return other == name })
}

// startEndpoint starts an endpoint of a version.
func (r *resumeTrial) startEndpoint(version string) {
	r.mu.Lock()
	r.started++
	id := fmt.Sprintf("e%02d", r.started)
	r.mu.Unlock()
	address := fmt.Sprintf("10.0.0.%d:80", r.started)
	listener, err := r.network.Host(id).Listen(r.ctx, address)
	if err != nil {
		panic(err)
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Id", req.Header.Get("Id"))
		w.Header().Set("Signed", id)
		first := 0
		if after := req.Header.Get("After"); after != "" {
			first = int(after[0]-'0') + 1
		}
		for i := first; i < streamEvents; i++ {
			time.Sleep(eventPause)
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, version); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	})}
	r.running.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(r.ctx, func() { _ = server.Close() })
	r.mu.Lock()
	r.endpoints[id] = tamarackknot.EndpointEntry{
		ID: id, Service: "s", Address: address, Slots: 50, State: tamarackknot.EndpointReady, Version: version, Born: time.Now(),
	}
	r.mu.Unlock()
	r.publish()
}

// publish lets every host know of the endpoints after a while.
func (r *resumeTrial) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	endpoints := maps.Clone(r.endpoints)
	for _, h := range r.hosts {
		r.running.Go(func() {
			time.Sleep(listLag)
			if h.ctx.Err() == nil {
				h.list(endpoints)
			}
		})
	}
}

// resumeFault is one step of a run.
type resumeFault struct {
	kind            string
	target, pauseMs int
}

func (r *resumeTrial) play(f resumeFault) {
	time.Sleep(time.Duration(f.pauseMs) * time.Millisecond)
	name := fmt.Sprintf("h%d", f.target)
	r.mu.Lock()
	ids := slices.Sorted(maps.Keys(r.endpoints))
	id := ids[f.target%len(ids)]
	e := r.endpoints[id]
	h := r.hosts[name]
	r.mu.Unlock()
	switch f.kind {
	case "killHost":
		h.cancel()
		r.peers.Kill(name)
		r.startHost(name)
	case "cutPeers":
		r.peers.Isolate(name, true)
		time.Sleep(700 * time.Millisecond)
		r.peers.Isolate(name, false)
	case "killAllHosts":
		for i := range resumeHosts {
			r.play(resumeFault{kind: "killHost", target: i})
		}
	case "loseEndpoint", "release":
		version := e.Version
		if f.kind == "release" {
			version = map[string]string{"v1": "v2", "v2": "v1"}[version]
		}
		r.startEndpoint(version)
		r.mu.Lock()
		delete(r.endpoints, id)
		r.mu.Unlock()
		if f.kind == "release" {
			r.publish()
			time.Sleep(listLag)
		}
		r.network.Kill(id)
		r.publish()
	}
}

// call is a caller that reads one stream, over several attempts if it breaks.
func (r *resumeTrial) call(n int) {
	var versions []string
	first, last := "", ""
	for attempt := range callerAttempts {
		id := fmt.Sprintf("c%d-%d", n, attempt)
		req := httptest.NewRequestWithContext(r.ctx, http.MethodPost, "http://a.example/p/x", strings.NewReader("x"))
		req.Header.Set("Id", id)
		req.Header.Set("Patience", "10s")
		if first != "" {
			req.Header.Set("Resumes", first)
			req.Header.Set("After", last)
		}
		served := r.twoServe(versions)
		w := r.send(req, (n+attempt)%resumeHosts)
		got := 0
		for _, block := range strings.SplitAfter(w.Body.String(), "\n\n") {
			var event, version string
			if k, _ := fmt.Sscanf(block, "id: %s\ndata: %s\n\n", &event, &version); k == 2 && strings.HasSuffix(block, "\n\n") {
				last, got = event, got+1
				versions = append(versions, version)
			}
		}
		r.mu.Lock()
		if first != "" && served {
			r.resumed++
			if got > 0 {
				r.wentOn++
			}
		}
		if len(slices.Compact(slices.Sorted(slices.Values(versions)))) > 1 {
			r.mixed = append(r.mixed, fmt.Sprintf("%s gets %v", id, versions))
		}
		r.mu.Unlock()
		if last == fmt.Sprint(streamEvents-1) {
			return
		}
		if first == "" && got > 0 {
			first = id
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// twoServe reports whether two endpoints of the version that began the stream serve.
func (r *resumeTrial) twoServe(versions []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.endpoints {
		if len(versions) > 0 && e.Version == versions[0] {
			n++
		}
	}
	return n >= 2
}

// send sends a request to a host and waits for its end. A host that ends breaks it off.
func (r *resumeTrial) send(req *http.Request, host int) (w *httptest.ResponseRecorder) {
	r.mu.Lock()
	h := r.hosts[fmt.Sprintf("h%d", host)]
	r.mu.Unlock()
	w = httptest.NewRecorder()
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	defer context.AfterFunc(h.ctx, cancel)()
	defer func() {
		if err, ok := recover().(error); ok && !errors.Is(err, http.ErrAbortHandler) {
			panic(err)
		}
	}()
	h.server.ServeHTTP(w, req.WithContext(ctx))
	return w
}

// playResumes runs the faults while callers read streams.
func playResumes(t *testing.T, faults []resumeFault) *resumeTrial {
	t.Helper()
	r := &resumeTrial{
		network: fake.NewNetwork(), peers: fake.NewPeers(fake.PeersConfig{Latency: time.Millisecond}),
		hosts: make(map[string]*resumeHost), endpoints: make(map[string]tamarackknot.EndpointEntry),
	}
	synctest.Test(t, func(*testing.T) {
		var cancel context.CancelFunc
		r.ctx, cancel = context.WithCancel(context.Background())
		catalogs := catalog.New(catalog.Config{Logger: log.New(io.Discard)})
		catalogs.Offer(&tamarackknot.Catalog{Version: 1, Services: map[string]tamarackknot.PoolSpec{"s": {Name: "s"}}, Routes: []tamarackknot.Route{{
			Name: "r", Host: "a.example", Prefix: "/p/", Objective: 2 * time.Second, Attempts: 2, Kind: stream, Resumable: true,
			Shares: []tamarackknot.Share{{Service: "s", Weight: 1}},
		}}})
		r.catalog = catalogs.Current()
		for _, version := range []string{"v1", "v2", "v1", "v2", "v1", "v2"} {
			r.startEndpoint(version)
		}
		for i := range resumeHosts {
			r.startHost(fmt.Sprintf("h%d", i))
		}
		time.Sleep(2 * listLag)
		var callers sync.WaitGroup
		for n := range resumeStreams {
			callers.Go(func() {
				time.Sleep(time.Duration(n) * 100 * time.Millisecond)
				r.call(n)
			})
		}
		for _, f := range faults {
			r.play(f)
		}
		callers.Wait()
		cancel()
		r.running.Wait()
		time.Sleep(10 * time.Second) // messages and connections under way end
	})
	return r
}

// TestStreamsOfTwoVersions guards against callers that get events of two versions in one
// stream, in one answer or over several at different hosts, and against hosts that refuse
// to go on with streams although the version that began them is served.
func TestStreamsOfTwoVersions(t *testing.T) {
	cases := map[string][]resumeFault{
		"no fault":                  nil,
		"hosts are killed in turn":  {{"killHost", 0, 500}, {"killHost", 1, 500}, {"killHost", 2, 500}, {"killHost", 3, 500}, {"killHost", 0, 500}},
		"endpoints are lost":        {{"loseEndpoint", 0, 700}, {"loseEndpoint", 1, 700}, {"loseEndpoint", 2, 700}},
		"a release":                 {{"release", 0, 300}, {"release", 0, 300}, {"release", 0, 300}},
		"hosts and endpoints break": {{"killHost", 0, 500}, {"loseEndpoint", 1, 100}, {"killHost", 1, 300}, {"loseEndpoint", 0, 300}, {"killHost", 2, 300}},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			r := playResumes(t, faults)
			require.Empty(t, r.mixed)
			t.Logf("%d of %d resumed streams went on", r.wentOn, r.resumed)
			require.GreaterOrEqual(t, 2*r.wentOn, r.resumed, "streams that go on of those that callers take up again")
		})
	}
}

// TestStreamsOfTwoVersionsFaults guards against mixed streams in random series of faults.
func TestStreamsOfTwoVersionsFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) resumeFault {
			return resumeFault{
				kind:    rapid.SampledFrom([]string{"killHost", "killHost", "cutPeers", "killAllHosts", "loseEndpoint", "release"}).Draw(t, "kind"),
				target:  rapid.IntRange(0, resumeHosts-1).Draw(t, "target"),
				pauseMs: rapid.IntRange(0, 900).Draw(t, "pauseMs"),
			}
		}), 1, 8).Draw(rt, "faults")
		r := playResumes(t, faults)
		if len(r.mixed) > 0 {
			t.Logf("faults=%v", faults)
		}
		require.Empty(rt, r.mixed)
	})
}
