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
	hosts        = 4
	engines      = 4
	instances    = 2
	models       = 8
	startTime    = 15 * time.Second
	pollInterval = 100 * time.Millisecond
	// sendTime bounds a call outside of what is checked; all run on one machine.
	sendTime = 2 * time.Second
	// Ports after the first one, of which the stand-in takes it.
	callerPorts   = 100
	peerPorts     = 200
	operatorPorts = 300
	frontPorts    = 400 // proxies before the callers' ports
	linkPorts     = 500 // proxies between a host and the platform, and peers
)

// process is a program that may be stopped and started.
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

// end sends a signal, waits for the end and kills the process if it takes
// longer than the time given.
func (p *process) end(s syscall.Signal, within time.Duration) {
	p.mu.Lock()
	cmd := p.cmd
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s)
	t := time.AfterFunc(within, func() { _ = cmd.Process.Kill() })
	defer t.Stop()
	_ = cmd.Wait() // the exit code of a killed process says nothing
}

// cluster is the whole system on loopback.
type cluster struct {
	cfg     Config
	dir     string
	standin *process
	entries []*process
	fronts  []*proxy // between callers and entry hosts
	links   []*proxy // between entry hosts and the platform
	peers   []*proxy // between entry hosts
}

func (c *cluster) address(group, i int) string {
	return fmt.Sprintf("127.0.0.1:%d", c.cfg.Port+group+i)
}

func (c *cluster) process(name, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(c.dir, name+".log")) //nolint:gosec // in the trial's own directory
	if err != nil {
		return nil, errors.Wrap(err, "log file")
	}
	p := &process{name: name, path: filepath.Join(c.cfg.Bin, program), args: args, log: log}
	return p, p.start()
}

func (c *cluster) start(ctx context.Context) error {
	var err error
	c.standin, err = c.process("standin", "tamarackstandin", "--listen", c.address(0, 0), "--remotePerGB", "20ms",
		"--engines", fmt.Sprintf("name=e,deployment=d,count=%d,port=%d,memoryMB=40960,slots=8,queue=4,fencing=0.5,domains=z1+z2", engines, c.cfg.Port+10),
		"--services", fmt.Sprintf("name=a,deployment=d,count=%d,port=%d,slots=16,domains=z1+z2", instances, c.cfg.Port+50))
	if err != nil {
		return err
	}
	if err := c.ready(ctx, "http://"+c.address(0, 0)+"/healthz"); err != nil {
		return err
	}
	for i := range hosts {
		for _, p := range []struct {
			list            *[]*proxy
			address, target string
		}{
			{&c.fronts, c.address(frontPorts, i), c.address(callerPorts, i)},
			{&c.links, c.address(linkPorts, i), c.address(0, 0)},
			{&c.peers, c.address(linkPorts, hosts+i), c.address(peerPorts, i)},
		} {
			proxy, err := newProxy(p.address, p.target)
			if err != nil {
				return err
			}
			*p.list = append(*p.list, proxy)
		}
		host := fmt.Sprintf(`{"name":"entry-%d","role":"entry","address":%q,"peerAddress":%q,"failureDomain":"z%d"}`,
			i, c.address(frontPorts, i), c.address(linkPorts, hosts+i), 1+i%2)
		if err := send(ctx, http.MethodPut, fmt.Sprintf("http://%s/hosts/entry-%d", c.address(0, 0), i), host, nil); err != nil {
			return err
		}
		e, err := c.process(fmt.Sprintf("entry-%d", i), "tamarackd", "--name", fmt.Sprintf("entry-%d", i), "--failureDomain", fmt.Sprintf("z%d", 1+i%2),
			"--callerAddress", c.address(callerPorts, i), "--peerAddress", c.address(peerPorts, i), "--operatorAddress", c.address(operatorPorts, i),
			"--platformAddress", c.address(linkPorts, i), "--logRetention", "3600", "--drainTimeout", "5")
		if err != nil {
			return err
		}
		c.entries = append(c.entries, e)
	}
	for i := range hosts {
		if err := c.ready(ctx, "http://"+c.address(callerPorts, i)+"/readyz"); err != nil {
			return err
		}
	}
	return c.apply(ctx, c.manifest())
}

// manifest is the configuration that a trial starts with.
func (c *cluster) manifest() string {
	var b strings.Builder
	b.WriteString("kind: deployment\nmetadata:\n  name: d\nspec:\n  priority: 5\n  coldStartWeight: 0.8\n  loadsPerSecond: 4\n  loadsAtOnce: 4\n")
	for i := range models {
		fmt.Fprintf(&b, "---\n%s", modelManifest(fmt.Sprintf("m-%d", i)))
	}
	b.WriteString("---\nkind: service\nmetadata:\n  name: app\nspec:\n  deployment: d\n  prefix: app\n  repeatableMethods:\n  - GET\n")
	for i := range engines {
		fmt.Fprintf(&b, "---\nkind: endpoint\nmetadata:\n  name: e-%02d\nspec:\n  deployment: d\n  address: %s\n  failureDomain: z%d\n  memoryMB: 40960\n  slots: 8\n  fencing: %t\n",
			i+1, c.address(10, i), 1+i%2, i >= engines/2)
	}
	for i := range instances {
		fmt.Fprintf(&b, "---\nkind: endpoint\nmetadata:\n  name: a-%02d\nspec:\n  deployment: d\n  address: %s\n  failureDomain: z%d\n  memoryMB: 0\n  slots: 16\n  fencing: false\n  service: app\n",
			i+1, c.address(50, i), 1+i%2)
	}
	return b.String()
}

func modelManifest(name string) string {
	return fmt.Sprintf("kind: model\nmetadata:\n  name: %s\nspec:\n  deployment: d\n  version: \"1\"\n  memoryMB: 14336\n  maxReplicas: 2\n  priority: 3\n", name)
}

// apply has the operator's program write resources, at any entry host.
func (c *cluster) apply(ctx context.Context, manifest string) error {
	var servers []string
	for i := range hosts {
		servers = append(servers, c.address(operatorPorts, i))
	}
	cmd := exec.CommandContext(ctx, filepath.Join(c.cfg.Bin, "tamarackctl"), "--servers", strings.Join(servers, ","), "--timeout", "20", "apply", "--file", "-") //nolint:gosec // a program of this repository
	cmd.Stdin = strings.NewReader(manifest)
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "apply: %s", bytes.TrimSpace(out))
}

func (c *cluster) ready(ctx context.Context, url string) error {
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(pollInterval) {
		if err := send(ctx, http.MethodGet, url, "", nil); err == nil {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", url, startTime)
}

// stop ends what this trial started.
func (c *cluster) stop() {
	for _, p := range append(c.entries, c.standin) {
		if p == nil {
			continue
		}
		p.signal(syscall.SIGCONT)
		p.end(syscall.SIGKILL, time.Second)
		_ = p.log.Close()
	}
	for _, p := range append(append(c.fronts, c.links...), c.peers...) {
		p.set(modeReset)
		_ = p.listener.Close()
	}
}

// send makes a call outside of what is checked; err is set unless the status is
// 2xx.
func send(ctx context.Context, method, url, body string, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, sendTime)
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
