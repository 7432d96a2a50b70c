package journal

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

// network carries messages between the journals of a test.
type network struct {
	mu   sync.Mutex
	node map[string]map[string]tamarackknot.PeerHandler
	cut  map[string]bool // hosts that no message reaches or leaves
}

func newNetwork() *network {
	return &network{node: make(map[string]map[string]tamarackknot.PeerHandler), cut: make(map[string]bool)}
}

func (n *network) setCut(host string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[host] = cut
}

func (n *network) join(host string) *mesh {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.node[host] = make(map[string]tamarackknot.PeerHandler)
	return &mesh{n: n, host: host}
}

func (n *network) leave(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.node, host)
}

func (n *network) hosts() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var hs []string
	for h := range n.node {
		hs = append(hs, h)
	}
	slices.Sort(hs)
	return hs
}

type mesh struct {
	n    *network
	host string
}

var _ tamarackknot.Peers = (*mesh)(nil)

func (m *mesh) Handle(method string, h tamarackknot.PeerHandler) {
	m.n.mu.Lock()
	defer m.n.mu.Unlock()
	m.n.node[m.host][method] = h
}

func (m *mesh) Call(ctx context.Context, host, method string, params, result any) error {
	m.n.mu.Lock()
	h, ok := m.n.node[host][method]
	cut := m.n.cut[host] || m.n.cut[m.host]
	m.n.mu.Unlock()
	if !ok || cut {
		return errors.Newf("host %q cannot be reached", host)
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	res, err := h(ctx, m.host, data)
	if err != nil {
		return err
	}
	if data, err = json.Marshal(res); err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

func (m *mesh) Notify(ctx context.Context, host, method string, params any) error {
	var ignored json.RawMessage
	return m.Call(ctx, host, method, params, &ignored)
}

// cluster is a log and some hosts with a journal each.
type cluster struct {
	log       *fake.Log
	net       *network
	retention time.Duration
	records   int // between snapshots
	hosts     map[string]*host
	starts    int
}

type host struct {
	*Journal
	client *fake.LogClient
}

func newCluster(retention time.Duration, records int) *cluster {
	return &cluster{
		log: fake.NewLog(fake.LogConfig{Retention: retention, AppendDelay: 5 * time.Millisecond}),
		net: newNetwork(), retention: retention, records: records, hosts: make(map[string]*host),
	}
}

func (c *cluster) start(name string) *host {
	c.starts++
	h := &host{client: c.log.Client()}
	h.Journal = New(Config{
		Log: h.client, Peers: c.net.join(name), Host: name, Incarnation: fmt.Sprint(c.starts),
		Hosts: c.net.hosts, Retention: c.retention, SnapshotRecords: c.records,
	})
	h.Start()
	c.hosts[name] = h
	return h
}

func (c *cluster) stop(name string) {
	c.net.leave(name)
	c.hosts[name].Close()
	delete(c.hosts, name)
}

func (c *cluster) close() {
	for name := range c.hosts {
		c.stop(name)
	}
}

// check returns an error unless all hosts are ready and have the same state. A
// record that is on its way to some hosts gets a moment to arrive.
func (c *cluster) check() error {
	err := c.compare()
	for range 5 {
		if !errors.Is(err, errBehind) {
			break
		}
		time.Sleep(10 * time.Millisecond)
		err = c.compare()
	}
	return err
}

var errBehind = errors.New("hosts are at different offsets")

func (c *cluster) compare() error {
	states := make(map[tamarackknot.Offset][][]byte)
	var newest tamarackknot.Offset
	for name, h := range c.hosts {
		if !h.Status().Ready {
			return errors.Newf("host %s is not ready: %+v", name, h.Status())
		}
		at, chunks, err := h.Snapshot(context.Background())
		if err != nil {
			return err
		}
		if other, ok := states[at]; ok && !slices.EqualFunc(other, chunks, slices.Equal[[]byte]) {
			return errors.Newf("host %s differs at offset %d", name, at)
		}
		states[at] = chunks
		newest = max(newest, at)
	}
	if len(states) > 1 || newest != c.log.Next()-1 {
		return errors.Wrapf(errBehind, "%d offsets, newest %d, log has %d", len(states), newest, c.log.Next()-1)
	}
	return nil
}

func propose(h *host, within time.Duration, c tamarackknot.Change) (tamarackknot.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return h.Propose(ctx, c)
}

func deployment(name string, priority int) tamarackknot.Resource {
	return tamarackknot.Resource{
		Kind: tamarackknot.KindDeployment, Metadata: tamarackknot.Metadata{Name: name},
		Deployment: &tamarackknot.DeploymentSpec{Priority: priority, LoadsPerSecond: 4, LoadsAtOnce: 4},
	}
}

func apply(r tamarackknot.Resource, basedOn tamarackknot.Offset) tamarackknot.Change {
	return tamarackknot.Change{Apply: &tamarackknot.Apply{Resource: r, BasedOn: basedOn}}
}

func mustApply(t *testing.T, h *host, r tamarackknot.Resource, basedOn tamarackknot.Offset) tamarackknot.Offset {
	t.Helper()
	out, err := propose(h, 5*time.Second, apply(r, basedOn))
	require.NoError(t, err)
	require.True(t, out.Accepted, "%+v", out)
	return out.Offset
}
