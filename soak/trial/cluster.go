package trial

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	hostCount     = 4
	engineCount   = 4
	instanceCount = 2
	modelCount    = 8
	startTimeout  = 15 * time.Second
	pollInterval  = 100 * time.Millisecond
	// sendTimeout limits a request of the harness itself. All processes run on
	// one machine.
	sendTimeout = 2 * time.Second
	// Offsets from the first port, which tamarackstandin uses.
	callerPorts        = 100
	peerPorts          = 200
	operatorPorts      = 300
	callerProxyPorts   = 400 // proxies in front of the caller ports
	internalProxyPorts = 500 // proxies to the platform and, from hostCount on, to the peer ports
)

// process is a program that can be terminated and restarted.
type process struct {
	name string
	path string
	args []string
	log  *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.CommandContext(context.Background(), p.path, p.args...) //nolint:gosec // programs of this repository
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	return errors.Wrapf(p.cmd.Start(), "start %s", p.name)
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// terminate sends a signal, waits until the process exits and kills it after the
// timeout.
func (p *process) terminate(s syscall.Signal, timeout time.Duration) {
	p.mu.Lock()
	cmd := p.cmd
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s)
	t := time.AfterFunc(timeout, func() { _ = cmd.Process.Kill() })
	defer t.Stop()
	_ = cmd.Wait() // the exit code of a killed process is meaningless
}

// cluster is the set of processes of a trial and the proxies between them, all on
// loopback.
type cluster struct {
	cfg             Config
	dir             string
	standin         *process
	entryHosts      []*process
	callerProxies   []*proxy // between callers and entry hosts
	platformProxies []*proxy // between entry hosts and the platform
	peerProxies     []*proxy // between entry hosts
}

func (c *cluster) address(offset, i int) string {
	return fmt.Sprintf("127.0.0.1:%d", c.cfg.Port+offset+i)
}

func (c *cluster) startProcess(name, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(c.dir, name+".log")) //nolint:gosec // in the temporary directory of the trial
	if err != nil {
		return nil, errors.Wrap(err, "create log file")
	}
	p := &process{name: name, path: filepath.Join(c.cfg.Bin, program), args: args, log: log}
	return p, p.start()
}

func (c *cluster) start(ctx context.Context) error {
	var err error
	c.standin, err = c.startProcess("standin", "tamarackstandin", "--listen", c.address(0, 0), "--remotePerGB", "20ms",
		"--engines", fmt.Sprintf("name=e,deployment=d,count=%d,port=%d,memoryMB=40960,slots=8,queue=4,fencing=0.5,domains=z1+z2", engineCount, c.cfg.Port+10),
		"--services", fmt.Sprintf("name=a,deployment=d,count=%d,port=%d,slots=16,domains=z1+z2", instanceCount, c.cfg.Port+50))
	if err != nil {
		return err
	}
	if err := c.waitReady(ctx, "http://"+c.address(0, 0)+"/healthz"); err != nil {
		return err
	}
	for i := range hostCount {
		for _, p := range []struct {
			list            *[]*proxy
			address, target string
		}{
			{&c.callerProxies, c.address(callerProxyPorts, i), c.address(callerPorts, i)},
			{&c.platformProxies, c.address(internalProxyPorts, i), c.address(0, 0)},
			{&c.peerProxies, c.address(internalProxyPorts, hostCount+i), c.address(peerPorts, i)},
		} {
			proxy, err := newProxy(p.address, p.target)
			if err != nil {
				return err
			}
			*p.list = append(*p.list, proxy)
		}
		host := fmt.Sprintf(`{"name":"entry-%d","role":"entry","address":%q,"peerAddress":%q,"failureDomain":"z%d"}`,
			i, c.address(callerProxyPorts, i), c.address(internalProxyPorts, hostCount+i), 1+i%2)
		if err := send(ctx, http.MethodPut, fmt.Sprintf("http://%s/hosts/entry-%d", c.address(0, 0), i), host, nil); err != nil {
			return err
		}
		e, err := c.startProcess(fmt.Sprintf("entry-%d", i), "tamarackd", "--name", fmt.Sprintf("entry-%d", i), "--failureDomain", fmt.Sprintf("z%d", 1+i%2),
			"--callerAddress", c.address(callerPorts, i), "--peerAddress", c.address(peerPorts, i), "--operatorAddress", c.address(operatorPorts, i),
			"--platformAddress", c.address(internalProxyPorts, i), "--logRetention", "3600", "--drainTimeout", "5")
		if err != nil {
			return err
		}
		c.entryHosts = append(c.entryHosts, e)
	}
	for i := range hostCount {
		if err := c.waitReady(ctx, "http://"+c.address(callerPorts, i)+"/readyz"); err != nil {
			return err
		}
	}
	return c.apply(ctx, c.manifest())
}

// manifest returns the initial configuration of a trial.
func (c *cluster) manifest() string {
	var b strings.Builder
	b.WriteString("kind: deployment\nmetadata:\n  name: d\nspec:\n  priority: 5\n  coldStartWeight: 0.8\n  loadsPerSecond: 4\n  loadsAtOnce: 4\n")
	for i := range modelCount {
		fmt.Fprintf(&b, "---\n%s", modelManifest(fmt.Sprintf("m-%d", i)))
	}
	b.WriteString("---\nkind: service\nmetadata:\n  name: app\nspec:\n  deployment: d\n  prefix: app\n  repeatableMethods:\n  - GET\n")
	for i := range engineCount {
		fmt.Fprintf(&b, "---\nkind: endpoint\nmetadata:\n  name: e-%02d\nspec:\n  deployment: d\n  address: %s\n  failureDomain: z%d\n  memoryMB: 40960\n  slots: 8\n  fencing: %t\n",
			i+1, c.address(10, i), 1+i%2, i >= engineCount/2)
	}
	for i := range instanceCount {
		fmt.Fprintf(&b, "---\nkind: endpoint\nmetadata:\n  name: a-%02d\nspec:\n  deployment: d\n  address: %s\n  failureDomain: z%d\n  memoryMB: 0\n  slots: 16\n  fencing: false\n  service: app\n",
			i+1, c.address(50, i), 1+i%2)
	}
	return b.String()
}

func modelManifest(name string) string {
	return fmt.Sprintf("kind: model\nmetadata:\n  name: %s\nspec:\n  deployment: d\n  version: \"1\"\n  memoryMB: 14336\n  maxReplicas: 2\n  priority: 3\n", name)
}

// apply writes resources with tamarackctl at any entry host.
func (c *cluster) apply(ctx context.Context, manifest string) error {
	var servers []string
	for i := range hostCount {
		servers = append(servers, c.address(operatorPorts, i))
	}
	cmd := exec.CommandContext(ctx, filepath.Join(c.cfg.Bin, "tamarackctl"), "--servers", strings.Join(servers, ","), "--timeout", "20", "apply", "--file", "-") //nolint:gosec // a program of this repository
	cmd.Stdin = strings.NewReader(manifest)
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "apply: %s", bytes.TrimSpace(out))
}

func (c *cluster) waitReady(ctx context.Context, url string) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if err := send(ctx, http.MethodGet, url, "", nil); err == nil {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", url, startTimeout)
}

// stop kills the processes and closes the proxies of the trial.
func (c *cluster) stop() {
	for _, p := range append(c.entryHosts, c.standin) {
		if p == nil {
			continue
		}
		p.signal(syscall.SIGCONT)
		p.terminate(syscall.SIGKILL, time.Second)
		_ = p.log.Close()
	}
	for _, p := range append(append(c.callerProxies, c.platformProxies...), c.peerProxies...) {
		p.setMode(modeReset)
		_ = p.listener.Close()
	}
}

// send makes a request of the harness itself and copies the response body to out
// unless that is nil. It returns an error if the status is not 2xx.
func send(ctx context.Context, method, url, body string, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer func() { _ = resp.Body.Close() }()
	if out == nil {
		out = io.Discard
	}
	if _, err := io.Copy(out, resp.Body); err != nil {
		return errors.Wrap(err, "body")
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: %s", method, url, resp.Status)
	}
	return nil
}
