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
	recoveryTimeout = 30 * time.Second
	// maxJoinPeers limits the peers that a new host asks for their state.
	maxJoinPeers = 8
	// maxConcurrentProbes limits concurrent calls to peers.
	maxConcurrentProbes = 16
	// initialScanRecords is the number of records at the end of the log that
	// are searched for a snapshot first. At the target size snapshots are up
	// to 12,000 records apart (TestSnapshotRate).
	initialScanRecords = 16_384
	scanGrowth         = 8 // factor of the searched part after each search without a usable snapshot
	// bridgeJitter is the maximum random delay before a host writes a bridge,
	// so that usually one host writes it and the others find it.
	bridgeJitter = 2 * time.Second
	// maxRecoveryDelay limits the delay between unsuccessful recoveries.
	maxRecoveryDelay = 5 * time.Second
)

var errNoState = errors.New("no usable state in peers or snapshots")

// recovery finds a state when the log lacks the records that follow this host's
// state: they have expired, or the host has no state yet. It asks peers, then
// searches the log for a snapshot.
//
// When records expired before any host read them, neither source has a usable
// state. A host then writes a bridge: a snapshot of its own state whose Covers
// includes the lost records, so that all hosts skip them. If a process had read
// the lost records, a bridge would revert accepted changes. A host therefore
// writes one only if
//   - every listed entry host answers that it has no newer state, and
//   - this host has never been stale since it last read the records that follow
//     its state, or all processes that were listed then are still running, so
//     that no process can have read the lost records and exited.
//
// All hosts continue from the first complete bridge in the log.
type recovery struct {
	j         *Journal
	hasState  bool                // this host has a state
	ownOffset tamarackknot.Offset // offset of this host's state
	logFirst  tamarackknot.Offset // oldest offset in the log; 0 if it cannot be read
	delay     time.Duration
	// contact, contactHosts and wasStale describe the last contact with the log.
	contact      time.Time
	contactHosts []string
	wasStale     bool

	state *ledger.Ledger // nil if none was found
	// stateWasStale says that the state is from a peer that was stale.
	stateWasStale bool
	readyAt       tamarackknot.Offset
	source        string
	isPeerState   bool // the state is from a peer
	isBridge      bool // the state is from a bridge
	err           error
}

// recover starts a recovery; page is zero if the log cannot be read.
func (j *Journal) recover(page tamarackknot.LogPage) {
	if j.recovering {
		return
	}
	j.recovering = true
	r := &recovery{
		j: j, hasState: j.complete, ownOffset: j.ledger.Applied(), logFirst: page.First,
		contact: j.Status().LogContact, contactHosts: j.contactHosts, wasStale: j.wasStale,
	}
	if j.consecutiveRecoveries > 0 {
		r.delay = min(time.Duration(j.consecutiveRecoveries)*tickInterval, maxRecoveryDelay)/2 + rand.N(tickInterval)
	}
	j.consecutiveRecoveries++
	j.log.Warn("log lacks the records that follow the state", "applied", r.ownOffset, "complete", r.hasState, "first", r.logFirst)
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
	j.wasStale = r.stateWasStale
	j.mu.Lock()
	if r.isPeerState {
		j.status.PeerContact = time.Now()
	} else {
		j.status.LogContact = time.Now()
	}
	j.mu.Unlock()
	j.installState(r.state, r.readyAt, r.source)
	if r.isBridge {
		j.requestedCovers = max(j.requestedCovers, r.state.Applied())
	}
}

func (r *recovery) run() {
	ctx, cancel := context.WithTimeout(r.j.ctx, recoveryTimeout)
	defer cancel()
	if r.err = pause(ctx, r.delay); r.err == nil {
		r.err = r.findState(ctx)
	}
	r.j.recovered <- *r
}

func (r *recovery) findState(ctx context.Context) error {
	ownIsNewest, err := r.restoreFromPeers(ctx)
	if err == nil || r.logFirst == 0 {
		return err
	}
	if err := r.restoreFromLog(ctx); !errors.Is(err, errNoState) || !r.hasState || !ownIsNewest {
		return err
	}
	return r.writeBridge(ctx)
}

// statusProbe requests the status of peers.
type statusProbe struct {
	j     *Journal
	after tamarackknot.Offset

	mu       sync.Mutex
	statuses map[string]peerStatus
}

func (p *statusProbe) run(ctx context.Context, peers []string) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentProbes)
	for _, peer := range peers {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			var res stateResult
			if err := p.j.cfg.Peers.Call(ctx, peer, methodState, stateParams{After: p.after, StatusOnly: true}, &res); err != nil {
				return err
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.statuses[peer] = res.peerStatus
			return nil
		})
	}
	_ = g.Wait() // peers that did not answer are missing in statuses
}

// restoreFromPeers restores the newest state of the peers. If there is none
// newer than this host's, ownIsNewest reports whether no process can have one.
func (r *recovery) restoreFromPeers(ctx context.Context) (ownIsNewest bool, err error) {
	peers := r.j.otherHosts()
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	listed := len(peers)
	if !r.hasState {
		peers = peers[:min(maxJoinPeers, listed)]
	}
	p := &statusProbe{j: r.j, after: r.ownOffset, statuses: make(map[string]peerStatus)}
	p.run(ctx, peers)
	ownIsNewest = len(p.statuses) == listed && r.noReaderExited(p.statuses)
	peers = slices.DeleteFunc(peers, func(peer string) bool {
		s := p.statuses[peer]
		return !s.Ready || r.hasState && s.Applied <= r.ownOffset
	})
	if len(peers) > 0 {
		ownIsNewest = false
	}
	slices.SortStableFunc(peers, func(a, b string) int { return int(p.statuses[b].Applied - p.statuses[a].Applied) })
	for _, peer := range peers {
		if err = r.restoreFromPeer(ctx, peer); err == nil {
			return false, nil
		}
	}
	return ownIsNewest, errNoState
}

// noReaderExited reports whether no process can have read the lost records and
// exited.
func (r *recovery) noReaderExited(statuses map[string]peerStatus) bool {
	if !r.wasStale {
		return true
	}
	if r.contact.IsZero() {
		return false
	}
	for _, host := range r.contactHosts {
		if s, ok := statuses[host]; !ok || s.ReadyFor < time.Since(r.contact) {
			return false
		}
	}
	return true
}

func (r *recovery) restoreFromPeer(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	after := r.ownOffset
	if !r.hasState {
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
	r.state, r.readyAt, r.source, r.stateWasStale = l, res.Applied, "peer "+peer, res.WasStale
	r.isPeerState = true
	return nil
}

// candidate is a snapshot found in the log; it is complete once end is set.
type candidate struct {
	id     string
	covers tamarackknot.Offset
	count  int
	chunks map[int][]byte
	end    tamarackknot.Offset // offset of the record that completed it
}

// restoreFromLog restores the newest usable snapshot in the log.
func (r *recovery) restoreFromLog(ctx context.Context) error {
	page, err := r.j.cfg.Log.Read(ctx, r.logFirst, 1, time.Now())
	if err != nil {
		return errors.Wrap(err, "read log")
	}
	first, next := page.First, page.Next
	for size := tamarackknot.Offset(initialScanRecords); ; size *= scanGrowth {
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

// scan returns the complete snapshots in the log from begin up to next.
func (r *recovery) scan(ctx context.Context, begin, next tamarackknot.Offset) ([]*candidate, error) {
	byID := make(map[string]*candidate)
	var found []*candidate
	for begin < next {
		page, err := r.j.cfg.Log.Read(ctx, begin, maxPageRecords, time.Now())
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
			if c := collectChunk(byID, rec); c != nil {
				found = append(found, c)
			}
		}
		begin = page.Records[len(page.Records)-1].Offset + 1
	}
	return found, nil
}

// collectChunk adds the chunk in a record to its snapshot. It returns the
// snapshot if this chunk completes it, else nil.
func collectChunk(byID map[string]*candidate, rec tamarackknot.LogRecord) *candidate {
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

// choose takes the newest snapshot that is not a bridge. Without one it takes
// the first bridge, from which all other hosts continue.
func (r *recovery) choose(found []*candidate, first, next tamarackknot.Offset) bool {
	found = slices.DeleteFunc(found, func(c *candidate) bool {
		return c.covers+1 < first || r.hasState && c.covers <= r.ownOffset
	})
	slices.SortStableFunc(found, func(a, b *candidate) int { return int(b.covers - a.covers) })
	var bridge *candidate
	var bridgeState *ledger.Ledger
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
			bridge, bridgeState = c, l
		}
	}
	if bridge == nil {
		return false
	}
	bridgeState.SkipTo(bridge.covers)
	r.state, r.readyAt, r.source, r.isBridge = bridgeState, next-1, "bridge "+bridge.id, true
	return true
}

// writeBridge appends a bridge for the next recovery of every host.
func (r *recovery) writeBridge(ctx context.Context) error {
	if err := pause(ctx, rand.N(bridgeJitter)); err != nil {
		return err
	}
	// Meanwhile another host may have written a bridge or read a newer record.
	ownIsNewest, err := r.restoreFromPeers(ctx)
	if err == nil || !ownIsNewest {
		return err
	}
	if err := r.restoreFromLog(ctx); !errors.Is(err, errNoState) {
		return err
	}
	page, err := r.j.cfg.Log.Read(ctx, r.logFirst, 1, time.Now())
	if err != nil {
		return errors.Wrap(err, "read log")
	}
	w := &snapshotWriter{j: r.j, covers: page.First - 1}
	var stateErr error
	err = r.j.do(ctx, func() {
		if r.j.ledger.Applied() != r.ownOffset {
			stateErr = errors.New("state changed before the bridge was written")
			return
		}
		w.state = r.j.ledger.Copy()
	})
	if err = errors.CombineErrors(err, stateErr); err != nil {
		return err
	}
	r.j.log.Warn("no host has the expired records, skipping them", "from", r.ownOffset+1, "to", w.covers)
	return w.write(ctx)
}
