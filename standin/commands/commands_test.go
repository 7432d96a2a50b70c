package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/engine"
	"tamarackknot.example/tamarackknot/platform"
)

// TestSettingsErrors guards against invalid settings that are accepted, and
// against errors that do not name the option, its value and the allowed values.
func TestSettingsErrors(t *testing.T) {
	const group = "name=e,deployment=d,count=2,port=9101,memoryMB=10,slots=1,queue=0,fencing=1,domains=z"
	for name, tc := range map[string]struct {
		args []string
		env  map[string]string
		want string
	}{
		"address without port": {args: []string{"--listen", "127.0.0.1"}, want: `option --listen is "127.0.0.1": allowed is IP:port`},
		"host name":            {args: []string{"--endpointIP", "localhost"}, want: `option --endpointIP is "localhost": allowed is an IP`},
		"duration":             {args: []string{"--reportLag", "5"}, want: `option --reportLag is "5": allowed is a duration`},
		"negative duration":    {args: []string{"--perToken=-1s"}, want: `option --perToken is "-1s"`},
		"rate":                 {args: []string{"--loadsPerSecond", "NaN"}, want: `option --loadsPerSecond is "NaN": allowed is a number from 0.001`},
		"level":                {args: []string{"--logLevel", "loud"}, want: `option --logLevel is "loud": allowed is debug, info, warn or error`},
		"environment":          {env: map[string]string{"TAMARACKSTANDIN_DISK_MB": "many"}, want: `option --diskMB is "many": allowed is a whole number`},
		"missing key":          {args: []string{"--engines", strings.Replace(group, ",slots=1", "", 1)}, want: "slots is missing"},
		"unknown key":          {args: []string{"--engines", group + ",colour=red"}, want: "only the keys of the form"},
		"key twice":            {args: []string{"--engines", group + ",slots=2"}, want: "the form name="},
		"fencing share":        {args: []string{"--engines", strings.Replace(group, "fencing=1", "fencing=1.1", 1)}, want: `option --engines fencing is "1.1": allowed is a number from 0 to 1`},
		"last port":            {args: []string{"--engines", strings.Replace(group, "9101", "65535", 1)}, want: "last port is at most 65535"},
		"name in use":          {args: []string{"--engines", group, "--engines", strings.Replace(group, "9101", "9200", 1)}, want: `endpoint "e-01" is not in use`},
		"port in use":          {args: []string{"--engines", group, "--services", "name=s,deployment=d,count=1,port=9102,slots=1,domains=z"}, want: "ports other than 9102"},
		"port of the platform": {args: []string{"--listen", "127.0.0.1:9102", "--engines", group}, want: "ports other than 9102, which --listen"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseSettings(tc.args, tc.env)
			require.ErrorContains(t, err, tc.want)
		})
	}
}

// TestSettingsPrecedence guards against flags that do not override the
// environment.
func TestSettingsPrecedence(t *testing.T) {
	group := func(name string) string { return "name=" + name + ",deployment=d,count=1,port=9101,slots=1,domains=z" }
	environment := map[string]string{
		"TAMARACKSTANDIN_SERVICES": group("a"), "TAMARACKSTANDIN_PER_TOKEN": "7ms", "TAMARACKSTANDIN_FIRST_TOKEN": "8ms",
	}
	s, err := parseSettings([]string{"--services", group("b"), "--firstToken", "9ms"}, environment)
	require.NoError(t, err)
	require.Len(t, s.services, 1)
	require.Equal(t, "b", s.services[0].name)
	require.Equal(t, 7*time.Millisecond, s.perToken)
	require.Equal(t, 9*time.Millisecond, s.firstToken)
}

type exampleDocument struct {
	Kind     tamarackknot.Kind `json:"kind"`
	Metadata struct {
		Name string `json:"name"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// TestExamplesMatchCommandLine guards against examples whose endpoints differ
// from the command line in their header, whose models all fit into memory at
// once, or whose adapters refer to a model that does not exist.
func TestExamplesMatchCommandLine(t *testing.T) {
	for name, counts := range map[string]map[tamarackknot.Kind]int{
		"periyar":    {"deployment": 1, "model": 100, "adapter": 90, "service": 1, "endpoint": 23},
		"sotfelagid": {"deployment": 1, "model": 50, "adapter": 60, "service": 1, "endpoint": 13},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile("../../examples/" + name + ".yaml")
			require.NoError(t, err)
			_, command, found := strings.Cut(strings.Split(string(data), "\n")[1], "# tamarackstandin ")
			require.True(t, found)
			s, err := parseSettings(strings.Fields(command), nil)
			require.NoError(t, err)

			got := make(map[tamarackknot.Kind]int)
			endpoints := make(map[string]tamarackknot.EndpointSpec)
			models := make(map[string]tamarackknot.ModelSpec)
			for text := range strings.SplitSeq(string(data), "---\n") {
				asJSON, err := yaml.YAMLToJSON([]byte(text))
				require.NoError(t, err)
				var d exampleDocument
				require.NoError(t, json.Unmarshal(asJSON, &d))
				got[d.Kind]++
				switch d.Kind {
				case tamarackknot.KindModel:
					var spec tamarackknot.ModelSpec
					require.NoError(t, json.Unmarshal(d.Spec, &spec))
					models[d.Metadata.Name] = spec
				case tamarackknot.KindAdapter:
					var spec tamarackknot.AdapterSpec
					require.NoError(t, json.Unmarshal(d.Spec, &spec))
					require.Contains(t, models, spec.Model)
				case tamarackknot.KindEndpoint:
					var spec tamarackknot.EndpointSpec
					require.NoError(t, json.Unmarshal(d.Spec, &spec))
					endpoints[d.Metadata.Name] = spec
				default:
				}
			}
			require.Equal(t, counts, got)

			want := make(map[string]tamarackknot.EndpointSpec)
			var engineMB, modelMB int64
			fencing := 0
			for _, g := range s.engines {
				for i := range g.count {
					want[g.endpointName(i)] = tamarackknot.EndpointSpec{
						Deployment: g.deployment, Address: fmt.Sprintf("127.0.0.1:%d", g.endpointPort(i)),
						FailureDomain: g.domain(i), MemoryMB: g.memoryMB, Slots: g.slots, Fencing: g.hasFencing(i),
					}
					engineMB += g.memoryMB
					if g.hasFencing(i) {
						fencing++
					}
				}
				require.Len(t, g.domains, 3)
				require.Equal(t, g.count/2, fencing)
			}
			for _, g := range s.services {
				for i := range g.count {
					name := g.endpointName(i)
					want[name] = tamarackknot.EndpointSpec{
						Deployment: g.deployment, Address: fmt.Sprintf("127.0.0.1:%d", g.endpointPort(i)),
						FailureDomain: g.domain(i), Slots: g.slots, Service: endpoints[name].Service,
					}
					require.NotEmpty(t, endpoints[name].Service)
				}
			}
			require.Equal(t, want, endpoints)
			for _, m := range models {
				modelMB += m.MemoryMB
			}
			require.Greater(t, modelMB, engineMB, "the models must not all fit into memory at once")
		})
	}
}

// freePorts returns the first of n consecutive ports that are free. Another
// process can still take them before the caller does.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	for first := 21_000; first < 30_000; first += n {
		free := true
		for port := first; port < first+n && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if free = err == nil; free {
				require.NoError(t, l.Close())
			}
		}
		if free {
			return first
		}
	}
	t.Fatal("no free ports")
	return 0
}

// TestRun guards against endpoints that do not listen on the address in the host
// list, faults that do not affect the named component, and a process that does
// not stop because a long poll is open.
func TestRun(t *testing.T) {
	port := freePorts(t, 4)
	base := fmt.Sprintf("127.0.0.1:%d", port)
	s, err := parseSettings([]string{
		"--listen", base, "--hostListLag", "0s", "--reportLag", "0s", "--logLevel", "error",
		"--engines", fmt.Sprintf("name=e,deployment=d,count=2,port=%d,memoryMB=2048,slots=1,queue=0,fencing=0.5,domains=z1+z2", port+1),
		"--services", fmt.Sprintf("name=s,deployment=d,count=1,port=%d,slots=1,domains=z1", port+3),
	}, nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- run(ctx, s, newLogger(io.Discard, s.level)) }()
	call := func(method, path, body string) (int, string) {
		req, err := http.NewRequestWithContext(t.Context(), method, "http://"+base+path, strings.NewReader(body))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, err.Error()
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(data)
	}
	require.Eventually(t, func() bool { status, _ := call(http.MethodGet, "/healthz", ""); return status == http.StatusOK },
		5*time.Second, 10*time.Millisecond)

	list := platform.NewHostListClient(platform.Config{Address: base})
	hosts, err := list.Hosts(t.Context())
	require.NoError(t, err)
	require.Len(t, hosts, 3)
	c := engine.NewClient(engine.Config{})
	defer c.Close()
	for i, h := range hosts[:2] {
		require.Equal(t, fmt.Sprintf("e-%02d", i+1), h.Name)
		r, err := c.Report(t.Context(), h.Address)
		require.NoError(t, err)
		require.Equal(t, h.Name, r.Endpoint)
	}
	load := tamarackknot.Order{Kind: tamarackknot.OrderLoad, Target: "a", Version: "1", MemoryMB: 1024, Fence: 1}
	require.Equal(t, tamarackknot.OrderDone, c.Order(t.Context(), hosts[0].Address, load).Outcome)

	faults := func(body string, want int) string {
		status, text := call(http.MethodPost, "/faults", body)
		require.Equal(t, want, status, text)
		return text
	}
	faults(`{"name":"e-01","die":true}`, http.StatusNoContent)
	require.Equal(t, tamarackknot.OrderRefused, c.Order(t.Context(), hosts[0].Address, load).Outcome, "a dead endpoint refuses connections")
	listed, err := list.Hosts(t.Context())
	require.NoError(t, err)
	require.Len(t, listed, 2)
	faults(`{"name":"e-01","leaving":true}`, http.StatusNoContent)
	listed, err = list.Hosts(t.Context())
	require.NoError(t, err)
	require.True(t, listed[0].Leaving)
	r, err := c.Report(t.Context(), hosts[0].Address)
	require.NoError(t, err)
	require.Empty(t, r.Loaded, "the fault clears accelerator memory")

	logClient := platform.NewLogClient(platform.Config{Address: base})
	faults(`{"name":"log","appendsDown":true}`, http.StatusNoContent)
	_, err = logClient.Append(t.Context(), []byte("x"))
	require.Error(t, err)
	faults(`{"name":"log"}`, http.StatusNoContent)
	_, err = logClient.Append(t.Context(), []byte("x"))
	require.NoError(t, err)
	faults(`{"name":"store/d","speed":0}`, http.StatusNoContent)
	_, text := call(http.MethodGet, "/store", "")
	require.Contains(t, text, `"speed":0,`)
	require.Contains(t, faults(`{"name":"e-01","dye":true}`, http.StatusBadRequest), "allowed are the fields name, leaving, die")
	require.Contains(t, faults(`{"name":"x"}`, http.StatusBadRequest), `field name is \"x\"`)
	_, text = call(http.MethodGet, "/history", "")
	require.Contains(t, text, `"peakReplicas":{"a":1}`)

	pollErr := make(chan error, 1)
	go func() {
		_, err := logClient.Read(context.Background(), 2, 1, time.Now().Add(30*time.Second))
		pollErr <- err
	}()
	time.Sleep(50 * time.Millisecond)
	cancel()
	select {
	case err := <-runErr:
		require.NoError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the stand-in did not stop")
	}
	require.Error(t, <-pollErr)
}
