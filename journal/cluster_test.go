package journal

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

// cluster is a log and several hosts, each with a journal.
type cluster struct {
	log       *fake.Log
	peers     *fake.Peers
	retention time.Duration
	records   int // number of records between snapshots
	hosts     map[string]*host
	starts    int
}

type host struct {
	*Journal
	client *fake.LogClient
}

func newCluster(retention time.Duration, records int) *cluster {
	return &cluster{
		log:   fake.NewLog(fake.LogConfig{Retention: retention, AppendDelay: 5 * time.Millisecond}),
		peers: fake.NewPeers(fake.PeersConfig{}), retention: retention, records: records, hosts: make(map[string]*host),
	}
}

func (c *cluster) start(name string) *host {
	c.starts++
	h := &host{client: c.log.Client()}
	h.Journal = New(Config{
		Log: h.client, Peers: c.peers.Host(name), Host: name, Incarnation: fmt.Sprint(c.starts),
		Hosts: c.peers.Hosts, Retention: c.retention, SnapshotRecords: c.records,
	})
	h.Start()
	c.hosts[name] = h
	return h
}

func (c *cluster) stop(name string) {
	c.peers.Kill(name)
	c.hosts[name].Close()
	delete(c.hosts, name)
}

func (c *cluster) close() {
	for name := range c.hosts {
		c.stop(name)
	}
}

// check returns an error unless all hosts are ready and have the same state. It
// retries for 50 ms, because a new record may not have reached all hosts.
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

func propose(h *host, timeout time.Duration, c tamarackknot.Change) (tamarackknot.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
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
