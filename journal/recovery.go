package journal

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/ledger"
)

const (
	recoveryLimit = 30 * time.Second
	// joinPeers is the number of peers that a new host asks for their state.
	joinPeers = 8
	// probesAtOnce bounds concurrent calls to peers.
	probesAtOnce = 16
	// scanRecords is the part at the end of the log that is searched for a
	// snapshot first. Snapshots are up to 12,000 records apart at the target
	// size (TestSnapshotRate).
	scanRecords = 16_384
	scanGrowth  = 8
	// bridgeJitter is the longest delay before a bridge is written, so that
	// mostly one host writes it and the others find it.
	bridgeJitter = 2 * time.Second
	// maxRecoveryDelay bounds the delay between recoveries without result.
	maxRecoveryDelay = 5 * time.Second
)

var errNoState = errors.New("neither a peer nor a snapshot in the log has a usable state")

// recovery finds a state when the log does not continue the own one: records
// have expired, or there is no state yet. It asks peers, then searches the log
// for a snapshot.
//
// When records expired before any host read them, nobody has a usable state.
// Then a host writes a bridge: a snapshot of its state that claims to cover
// the lost records. Accepted changes would be undone if a process had read the
// lost records, so a host writes a bridge only if
//   - every listed entry host answers that it has no newer state, and
//   - either this host was never stale since the log last continued its state,
//     or all processes that were listed then still run, so that nobody can have
//     read the lost records and ended.
//
// All hosts go on from the first complete bridge in the log.
type recovery struct {
	j     *Journal
	has   bool                // there is an own state
	own   tamarackknot.Offset // offset of the own state
	first tamarackknot.Offset // of the log; 0 if it cannot be read
	delay time.Duration
	// contact, contactHosts and lapsed describe the last contact with the log.
	contact      time.Time
	contactHosts []string
	lapsed       bool

	state *ledger.Ledger // nil if none was found
	// stateLapsed says that the state is that of a lapsed peer.
	stateLapsed bool
	readyAt     tamarackknot.Offset
	source      string
	peer        bool // the state is that of a peer
	bridge      bool
	err         error
}

// recover begins a recovery; page is zero if the log cannot be read.
func (j *Journal) recover(page tamarackknot.LogPage) {
	if j.recovering {
		return
	}
	j.recovering = true
	r := &recovery{
		j: j, has: j.complete, own: j.ledger.Applied(), first: page.First,
		contact: j.Status().LogContact, contactHosts: j.contactHosts, lapsed: j.lapsed,
	}
	if j.failures > 0 {
		r.delay = min(time.Duration(j.failures)*tickTime, maxRecoveryDelay)/2 + rand.N(tickTime)
	}
	j.failures++
	j.log.Warn("log does not continue the state", "applied", r.own, "complete", r.has, "first", r.first)
	j.wg.Go(r.run)
}

func (j *Journal) handleRecovery(r recovery) {
	j.recovering = false
	if r.err != nil {
		j.log.Warn("no state recovered", "err", r.err)
	}
	if r.state == nil || j.complete && r.state.Applied() <= j.ledger.Applied() {
		return
	}
	j.lapsed = r.stateLapsed
	j.mu.Lock()
	if r.peer {
		j.status.PeerContact = time.Now()
	} else {
		j.status.LogContact = time.Now()
	}
	j.mu.Unlock()
	j.replace(r.state, r.readyAt, r.source)
	if r.bridge {
		j.snapshotFrom = max(j.snapshotFrom, r.state.Applied())
	}
}

func (r *recovery) run() {
	ctx, cancel := context.WithTimeout(r.j.ctx, recoveryLimit)
	defer cancel()
	if r.err = pause(ctx, r.delay); r.err == nil {
		r.err = r.find(ctx)
	}
	r.j.recovered <- *r
}

func (r *recovery) find(ctx context.Context) error {
	newest, err := r.fromPeers(ctx)
	if err == nil || r.first == 0 {
		return err
	}
	if err := r.fromLog(ctx); !errors.Is(err, errNoState) || !r.has || !newest {
		return err
	}
	return r.writeBridge(ctx)
}

// probe asks all peers how far they are.
type probe struct {
	j     *Journal
	after tamarackknot.Offset

	mu    sync.Mutex
	heads map[string]peerHead
}

func (p *probe) run(ctx context.Context, peers []string) {
	var g errgroup.Group
	g.SetLimit(probesAtOnce)
	for _, peer := range peers {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			var res stateResult
			if err := p.j.cfg.Peers.Call(ctx, peer, methodState, stateParams{After: p.after, HeadOnly: true}, &res); err != nil {
				return err
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.heads[peer] = res.peerHead
			return nil
		})
	}
	_ = g.Wait() // peers without an answer are missing in heads
}

// fromPeers takes the newest state of the peers. Without one it reports
// whether no process can have a newer one.
func (r *recovery) fromPeers(ctx context.Context) (newest bool, err error) {
	peers := r.j.others()
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	listed := len(peers)
	if !r.has {
		peers = peers[:min(joinPeers, listed)]
	}
	p := &probe{j: r.j, after: r.own, heads: make(map[string]peerHead)}
	p.run(ctx, peers)
	newest = len(p.heads) == listed && r.nobodyEnded(p.heads)
	peers = slices.DeleteFunc(peers, func(peer string) bool {
		h := p.heads[peer]
		return !h.Ready || r.has && h.Applied <= r.own
	})
	if len(peers) > 0 {
		newest = false
	}
	slices.SortStableFunc(peers, func(a, b string) int { return int(p.heads[b].Applied - p.heads[a].Applied) })
	for _, peer := range peers {
		if err = r.fromPeer(ctx, peer); err == nil {
			return false, nil
		}
	}
	return newest, errNoState
}

// nobodyEnded reports whether no process can have read the lost records and
// ended.
func (r *recovery) nobodyEnded(heads map[string]peerHead) bool {
	if !r.lapsed {
		return true
	}
	if r.contact.IsZero() {
		return false
	}
	for _, host := range r.contactHosts {
		if h, ok := heads[host]; !ok || h.ReadyFor < time.Since(r.contact) {
			return false
		}
	}
	return true
}

func (r *recovery) fromPeer(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	after := r.own
	if !r.has {
		after = -1
	}
	var res stateResult
	if err := r.j.cfg.Peers.Call(ctx, peer, methodState, stateParams{After: after}, &res); err != nil {
		return err
	}
	if !res.Ready || len(res.Chunks) == 0 || res.Covers <= after {
		return errNoState
	}
	l, err := ledger.Restore(r.j.cfg.Ledger, res.Chunks)
	if err != nil {
		return errors.Wrapf(err, "restore state of peer %q", peer)
	}
	r.state, r.readyAt, r.source, r.stateLapsed = l, res.Applied, "peer "+peer, res.Lapsed
	r.peer = true
	return nil
}

// candidate is a complete snapshot in the log.
type candidate struct {
	id     string
	covers tamarackknot.Offset
	count  int
	chunks map[int][]byte
	end    tamarackknot.Offset // offset of the record that completed it
}

// fromLog restores the newest usable snapshot in the log.
func (r *recovery) fromLog(ctx context.Context) error {
	page, err := r.j.cfg.Log.Read(ctx, r.first, 1, time.Now())
	if err != nil {
		return errors.Wrap(err, "read log")
	}
	first, next := page.First, page.Next
	for size := tamarackknot.Offset(scanRecords); ; size *= scanGrowth {
		begin := max(first, next-size)
		found, err := r.scan(ctx, begin, next)
		if err != nil {
			return err
		}
		if r.choose(found, first, next) {
			return nil
		}
		if begin == first {
			return errNoState
		}
	}
}

// scan collects the complete snapshots in a part of the log.
func (r *recovery) scan(ctx context.Context, begin, next tamarackknot.Offset) ([]*candidate, error) {
	byID := make(map[string]*candidate)
	var found []*candidate
	for begin < next {
		page, err := r.j.cfg.Log.Read(ctx, begin, readLimit, time.Now())
		if err != nil {
			return nil, errors.Wrap(err, "read log")
		}
		if begin < page.First {
			begin = page.First
			continue
		}
		if len(page.Records) == 0 {
			break
		}
		for _, rec := range page.Records {
			if c := collect(byID, rec); c != nil {
				found = append(found, c)
			}
		}
		begin = page.Records[len(page.Records)-1].Offset + 1
	}
	return found, nil
}

// collect returns the snapshot that a record completes, if it does.
func collect(byID map[string]*candidate, rec tamarackknot.LogRecord) *candidate {
	var r struct {
		Snapshot *tamarackknot.SnapshotChunk `json:"snapshot"`
	}
	if json.Unmarshal(rec.Data, &r) != nil || r.Snapshot == nil {
		return nil
	}
	s := r.Snapshot
	c, ok := byID[s.SnapshotID]
	if !ok {
		c = &candidate{id: s.SnapshotID, covers: s.Covers, count: s.Count, chunks: make(map[int][]byte)}
		byID[s.SnapshotID] = c
	}
	if s.Index < 0 || s.Index >= c.count || c.covers != s.Covers || c.count != s.Count || c.end != 0 {
		return nil
	}
	c.chunks[s.Index] = s.Data
	if len(c.chunks) < c.count {
		return nil
	}
	c.end = rec.Offset
	return c
}

// choose takes the newest snapshot without a bridge, else the first bridge,
// from which all other hosts went on.
func (r *recovery) choose(found []*candidate, first, next tamarackknot.Offset) bool {
	found = slices.DeleteFunc(found, func(c *candidate) bool {
		return c.covers+1 < first || r.has && c.covers <= r.own
	})
	slices.SortStableFunc(found, func(a, b *candidate) int { return int(b.covers - a.covers) })
	var bridge *candidate
	var bridged *ledger.Ledger
	for _, c := range found {
		chunks := make([][]byte, c.count)
		for i := range chunks {
			chunks[i] = c.chunks[i]
		}
		l, err := ledger.Restore(r.j.cfg.Ledger, chunks)
		if err != nil || l.Applied() > c.covers {
			r.j.log.Error("snapshot in the log cannot be restored", "id", c.id, "covers", c.covers, "err", err)
			continue
		}
		if l.Applied() == c.covers {
			r.state, r.readyAt, r.source = l, next-1, "snapshot "+c.id
			return true
		}
		if bridge == nil || c.end < bridge.end {
			bridge, bridged = c, l
		}
	}
	if bridge == nil {
		return false
	}
	bridged.SkipTo(bridge.covers)
	r.state, r.readyAt, r.source, r.bridge = bridged, next-1, "bridge "+bridge.id, true
	return true
}

// writeBridge lets the next recovery of every host find a bridge.
func (r *recovery) writeBridge(ctx context.Context) error {
	if err := pause(ctx, rand.N(bridgeJitter)); err != nil {
		return err
	}
	// Another host may have written one, or read a newer record, meanwhile.
	newest, err := r.fromPeers(ctx)
	if err == nil || !newest {
		return err
	}
	if err := r.fromLog(ctx); !errors.Is(err, errNoState) {
		return err
	}
	page, err := r.j.cfg.Log.Read(ctx, r.first, 1, time.Now())
	if err != nil {
		return errors.Wrap(err, "read log")
	}
	w := &snapshotWriter{j: r.j, covers: page.First - 1}
	var moved error
	err = r.j.do(ctx, func() {
		if r.j.ledger.Applied() != r.own {
			moved = errors.New("state has moved on")
			return
		}
		w.state = r.j.ledger.Copy()
	})
	if err = errors.CombineErrors(err, moved); err != nil {
		return err
	}
	r.j.log.Warn("no host has the records that expired; going on without them", "from", r.own+1, "to", w.covers)
	return w.write(ctx)
}
