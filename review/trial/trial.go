package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"
)

// Bounds and settings of the small deployments.
const (
	heartbeat = 1200 * time.Millisecond
	contact   = 3 * time.Second
	drainTime = 2 * time.Second
	grace     = 8 * time.Second
)

// Trial is one run of a case.
type Trial struct {
	Store   *Store
	Trouble bool
	// NoFence says that replicas don't check fencing tokens.
	NoFence bool
	started time.Time
	dir     string // temporary
	root    string // of the repository
	net     string // first three numbers of the loopback addresses
	nextIP  int
	hosts   []*Host

	mu     sync.Mutex
	record *os.File
}

// NewTrial opens the record of a run.
func NewTrial(recordPath string) (*Trial, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "tamarackd")); err != nil {
		return nil, fmt.Errorf("run the build of deploy/system.toml first: %w", err)
	}
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &Trial{
		Store: NewStore(), Trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), dir: dir, root: root, record: f,
		net: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250)),
	}, nil
}

// Log writes a line to the record.
func (t *Trial) Log(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(t.record, "%8.3f  %s\n", time.Since(t.started).Seconds(), fmt.Sprintf(format, args...))
}

// IP returns a loopback address of its own.
func (t *Trial) IP() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextIP++
	return fmt.Sprintf("%s.%d", t.net, t.nextIP)
}

// End kills all processes that the trial started.
func (t *Trial) End() {
	for _, h := range t.hosts {
		h.Kill()
	}
	_ = os.RemoveAll(t.dir)
	_ = t.record.Close()
}

// Host is a process of the daemon and its machine.
type Host struct {
	Name, Zone, IP, Front, Ready, Directory, Control string
	Gate                                             *Gate

	trial *Trial
	cmd   *exec.Cmd
	done  chan struct{}
}

var settings = template.Must(template.New("").Parse(`nodeId = "{{.H.Name}}"
role = "entry"
machineClass = "edge"
serves = ["edge","registry"]
ip = "{{.H.IP}}"
zone = "{{.H.Zone}}"
region = "r"
portRange = [{{.Port}},{{.Port}}]
bootstrap = {{.First}}
lossCounts = false
discovery = "platform"
entry = "registry"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
[zones]
z-a = "r"
z-b = "r"
z-c = "r"
[listen]
front = "{{.H.Front}}"
readyAddr = "{{.H.Ready}}"
directory = "{{.H.Directory}}"
[limits]
cpuShare = 0.4
cores = 1
ramMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseS = 2
contactMs = 3000
ackMs = 4000
catchupS = 4
drainMs = 2000
graceS = 8
lostMs = 200
configMs = 2000
downgradeMs = 250
outerMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
recoveryS = 12
passMs = 120
retryS = 0
requireFence = {{.Fence}}
leaseMs = 3000
thawMs = 300
ceilingWindowS = 5
ceilingFactor = 1.1
ttl_max_s = 5
[infra]
addr = "{{.H.Gate.Addr}}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendMs = 2.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
`))

// StartHosts starts n hosts for the first time and waits until all are ready.
func (t *Trial) StartHosts(n int) error {
	for i := range n {
		zone := []string{"z-a", "z-b", "z-c"}[i%3]
		h := &Host{Name: fmt.Sprintf("edge-%s-%d", zone, i/3+1), Zone: zone, IP: t.IP(), trial: t, Gate: t.Store.Open(t.IP())}
		h.Front, h.Ready, h.Directory, h.Control = freeAddr(h.IP), freeAddr(h.IP), freeAddr(h.IP), freeAddr(h.IP)
		t.hosts = append(t.hosts, h)
	}
	for _, h := range t.hosts {
		if err := h.Start(true); err != nil {
			return err
		}
	}
	for _, h := range t.hosts {
		if !h.WaitReady(15 * time.Second) {
			return fmt.Errorf("host %s is not ready in time", h.Name)
		}
	}
	t.Log("all %d hosts are ready", n)
	return nil
}

func freeAddr(ip string) string {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Start starts the process of the host, with the command of the deploy file.
func (h *Host) Start(first bool) error {
	path := filepath.Join(h.trial.dir, h.Name+".toml")
	_, port, _ := net.SplitHostPort(h.Control)
	var text bytes.Buffer
	if err := settings.Execute(&text, map[string]any{"H": h, "First": first, "Port": port, "Fence": !h.trial.NoFence}); err != nil {
		return err
	}
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(h.trial.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command("target/tamarackd", "hosted")
	h.cmd.Dir, h.cmd.Stdout, h.cmd.Stderr = h.trial.root, out, out
	h.cmd.Env = []string{"TAMARACKKNOT_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.done = done
	cmd := h.cmd
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	h.trial.Log("host %s starts", h.Name)
	return nil
}

// Kill kills the process and waits for its end.
func (h *Host) Kill() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.done
}

// Signal sends a signal to the process.
func (h *Host) Signal(s os.Signal) { _ = h.cmd.Process.Signal(s) }

// IsReady asks the host as the platform does.
func (h *Host) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Ready+"/-/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until the host is ready.
func (h *Host) WaitReady(d time.Duration) bool {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if h.IsReady() {
			return true
		}
	}
	return false
}

// LogOf returns the lines of a host's own log that contain all words.
func (h *Host) LogOf(words ...string) []string {
	data, _ := os.ReadFile(filepath.Join(h.trial.dir, h.Name+".log"))
	var out []string
	for _, line := range strings.Split(string(data), "\n") {
		if !slices.ContainsFunc(words, func(w string) bool { return !strings.Contains(line, w) }) {
			out = append(out, line)
		}
	}
	return out
}

// Configure writes the operator's configuration: one route to a service of engines, and one to a
// plain service.
func (t *Trial) Configure(version int) { t.ConfigureSplit(version, []string{"llm"}, nil) }

// ConfigureSplit is Configure with a route that is split among services by weight.
func (t *Trial) ConfigureSplit(version int, engines []string, weights []int) {
	chat := map[string]any{
		"name": "r-chat", "host": "app.example", "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 15000, "sloMs": 600, "prio": 0,
		"attempts": 2, "sticky": true, "canResume": true, "gapAimMs": 300,
	}
	services := []map[string]any{{"name": "desk", "healthPath": "/healthz", "maxConns": 110, "proto": "h1", "tls": false}}
	split := []map[string]any{}
	for i, name := range engines {
		if weights != nil {
			split = append(split, map[string]any{"svc": name, "weight": weights[i]})
		}
		services = append(services, map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 370, "proto": "h1", "tls": false, "engine": map[string]any{
			"slots": 64, "kvTokens": 121394, "kvTokenBytes": 327680, "linkMbps": 260000.0, "stride": 1, "maxCount": 12,
			"hostMb": 130000.0, "diskMb": 1100000.0, "weightsMb": 220000.0, "loraSlots": 8, "loadsPerS": 4.2,
			"models": []map[string]any{{"name": "m1", "weightsMb": 72700.0, "loadS": 6.0, "adapters": 0, "loraMb": 66.0, "warmS": 0.4, "diskS": 0.52}},
		}})
	}
	if weights == nil {
		chat["svc"] = engines[0]
	} else {
		chat["split"] = split
	}
	t.Store.PutJSON("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{chat, {
			"name": "r-book", "host": "app.example", "pathPrefix": "/book/", "kind": "non_idempotent", "timeoutMs": 2500, "sloMs": 150, "prio": 1,
			"svc": "desk", "attempts": 1,
		}},
		"services": services,
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
