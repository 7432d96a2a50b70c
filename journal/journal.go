// Package journal connects an entry host to the log. It tails the log into a
// ledger, appends proposals and waits for their read-back, batches claims on
// idempotency keys, writes snapshots and catches up from peers.
package journal

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/ledger"
)

const (
	readLimit = 64 // records per page; a snapshot chunk has up to 180 KB
	// A long poll, its timeout and some calls to peers must fit into
	// staleAfter: with a poll of 4 s hosts of a log that hung were stale for a
	// moment and refused to write a bridge afterwards.
	pollTime       = 3 * time.Second
	readTimeout    = pollTime + time.Second // a log that does not answer is down
	tickTime       = time.Second
	staleAfter     = 10 * time.Second
	downAfter      = 2 * time.Second  // reads failing for longer make proposals fail at once
	outageAfter    = 10 * time.Second // an outage this long is followed by a snapshot
	pendingTimeout = 10 * time.Second // a snapshot without a new chunk for this long was given up
	snapshotJitter = time.Second
	snapshotLimit  = 30 * time.Second
	// A snapshot is due when the records since the last one have snapshotRatio
	// times its bytes, so that reading the log costs at most half as much again
	// as without snapshots and a start reads at most three times the state.
	snapshotRatio = 2
	// chunkBytes is about the most that a chunk takes in the log: JSON encodes
	// its data in base64.
	chunkBytes = ledger.ChunkSize * 4 / 3
)

// Config configures a Journal.
type Config struct {
	Log tamarackknot.Log
	// Peers may be nil: then the log is the only source of records.
	Peers       tamarackknot.Peers
	Host        string
	Incarnation string
	// Hosts names the entry hosts in the host list; nil means none but Host.
	// It must not block.
	Hosts func() []string
	// ShouldSnapshot says whether this host writes the snapshots at present;
	// nil means always. It must not block.
	ShouldSnapshot func() bool
	// Retention is the log's retention time, of which a quarter passes between
	// snapshots; default 1 h.
	Retention time.Duration
	// SnapshotRecords is the number of records between snapshots; 0 lets it
	// follow from the size of the last snapshot.
	SnapshotRecords int
	Ledger          ledger.Config
	Logger          *log.Logger      // nil discards
	Metrics         metrics.Registry // nil keeps the metrics private
}

// Journal implements tamarackknot.Journal. Its loop is the only writer of the
// ledger.
type Journal struct {
	cfg       Config
	log       *log.Logger
	metrics   meters
	appender  *appender
	keys      *keyBatcher
	tail      *tail
	requests  chan func()
	recovered chan recovery // capacity 1
	fetched   chan fetch    // capacity 1

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.RWMutex // guards the ledger and the fields below
	ledger  *ledger.Ledger
	changed chan struct{}
	status  tamarackknot.JournalStatus
	// downSince is the time of the first of the failed reads without a
	// successful one; zero while the log can be read.
	downSince time.Time
	// maxApplied is the newest offset that any process is known to have
	// applied.
	maxApplied tamarackknot.Offset

	waitMu  sync.Mutex
	waiting map[string]*proposal

	// The fields below belong to loop.
	complete   bool // the ledger is the state at its offset
	readyAt    tamarackknot.Offset
	ring       ring
	reading    bool
	fetching   bool
	recovering bool
	failures   int // consecutive recoveries
	// contactHosts are the other hosts that were listed when the log last
	// continued the state.
	contactHosts []string
	// lapsed says that this host has been stale since then.
	lapsed      bool
	readySince  time.Time // when the state became ready
	encoded     stateResult
	writing     bool // a snapshot is being written
	snapshotDue time.Time
	// snapshotFrom asks for a snapshot that covers at least this offset.
	snapshotFrom tamarackknot.Offset
	unsnapped    time.Time // since when records are not in any snapshot
	// recordBytes are the bytes of other records read since the snapshot
	// countedFrom was completed, or since the state was restored.
	recordBytes int
	countedFrom string
	encodeMu    sync.Mutex // so that joining hosts share one encoding
}

var _ tamarackknot.Journal = (*Journal)(nil)

type proposal struct {
	outcome chan tamarackknot.Outcome // capacity 1
	cancel  context.CancelFunc        // ends the append
}

// New returns a journal that is not started and registers its peer methods.
func New(cfg Config) *Journal {
	if cfg.Hosts == nil {
		cfg.Hosts = func() []string { return nil }
	}
	if cfg.ShouldSnapshot == nil {
		cfg.ShouldSnapshot = func() bool { return true }
	}
	if cfg.Retention == 0 {
		cfg.Retention = time.Hour
	}
	if cfg.Logger == nil {
		cfg.Logger = log.New(io.Discard)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	j := &Journal{
		cfg:       cfg,
		log:       cfg.Logger.With("component", "journal"),
		metrics:   newMeters(cfg.Metrics),
		requests:  make(chan func()),
		recovered: make(chan recovery, 1),
		fetched:   make(chan fetch, 1),
		ledger:    ledger.New(cfg.Ledger),
		changed:   make(chan struct{}),
		waiting:   make(map[string]*proposal),
	}
	j.ctx, j.cancel = context.WithCancel(context.Background())
	j.appender = newAppender(cfg.Log, j.metrics)
	j.tail = newTail(cfg.Log)
	j.keys = newKeyBatcher(j)
	if cfg.Peers != nil {
		cfg.Peers.Handle(methodRecords, j.handleRecords)
		cfg.Peers.Handle(methodState, j.handleState)
	}
	return j
}

// Start begins to read the log.
func (j *Journal) Start() {
	for _, run := range []func(){j.loop, j.tailLoop, j.keysLoop} {
		j.wg.Go(run)
	}
}

// Close ends all goroutines. Proposals that are waiting return an error.
func (j *Journal) Close() {
	j.cancel()
	j.waitMu.Lock()
	for _, p := range j.waiting {
		p.cancel()
	}
	j.waitMu.Unlock()
	j.wg.Wait()
}

func (j *Journal) tailLoop() { j.tail.loop(j.ctx) }
func (j *Journal) keysLoop() { j.keys.loop(j.ctx) }

// Propose implements tamarackknot.Journal.
func (j *Journal) Propose(ctx context.Context, c tamarackknot.Change) (tamarackknot.Outcome, error) {
	if err := j.admit(); err != nil {
		return tamarackknot.Outcome{}, err
	}
	began := time.Now()
	rec := j.record(c)
	data, err := json.Marshal(rec)
	if err != nil {
		return tamarackknot.Outcome{}, fmt.Errorf("%w: encode record: %w", tamarackknot.ErrNotAppended, err)
	}
	actx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &proposal{outcome: make(chan tamarackknot.Outcome, 1), cancel: cancel}
	if !j.register(rec.ID, p) {
		return tamarackknot.Outcome{}, fmt.Errorf("%w: journal is closed", tamarackknot.ErrNotAppended)
	}
	defer j.unregister(rec.ID)
	appendErr := j.appender.append(actx, data)
	if appendErr == nil {
		select {
		case out := <-p.outcome:
			j.metrics.propose.Update(time.Since(began).Milliseconds())
			return known(out)
		case <-ctx.Done():
			return tamarackknot.Outcome{}, fmt.Errorf("%w: %w", tamarackknot.ErrOutcomeUnknown, ctx.Err())
		case <-j.ctx.Done():
			return tamarackknot.Outcome{}, fmt.Errorf("%w: journal is closed", tamarackknot.ErrOutcomeUnknown)
		}
	}
	select {
	case out := <-p.outcome:
		j.metrics.propose.Update(time.Since(began).Milliseconds())
		return known(out)
	default:
		return tamarackknot.Outcome{}, appendErr
	}
}

func (j *Journal) register(id string, p *proposal) bool {
	j.waitMu.Lock()
	defer j.waitMu.Unlock()
	if j.ctx.Err() != nil {
		return false
	}
	j.waiting[id] = p
	return true
}

func (j *Journal) unregister(id string) {
	j.waitMu.Lock()
	defer j.waitMu.Unlock()
	delete(j.waiting, id)
}

// known turns the outcome of a second copy into an error: the first copy was
// applied in a part of the log that this host skipped.
func known(out tamarackknot.Outcome) (tamarackknot.Outcome, error) {
	if out.Reason == tamarackknot.ReasonDuplicate {
		return out, fmt.Errorf("%w: only a second copy was read", tamarackknot.ErrOutcomeUnknown)
	}
	return out, nil
}

// admit rejects proposals whose outcome could not be read back.
func (j *Journal) admit() error {
	j.mu.RLock()
	ready, down := j.status.Ready, j.downSince
	j.mu.RUnlock()
	switch {
	case j.ctx.Err() != nil:
		return fmt.Errorf("%w: journal is closed", tamarackknot.ErrNotAppended)
	case !ready:
		return fmt.Errorf("%w: %w", tamarackknot.ErrNotAppended, tamarackknot.ErrNotReady)
	case !down.IsZero() && time.Since(down) > downAfter:
		return fmt.Errorf("%w: the log cannot be read since %s", tamarackknot.ErrNotAppended, down.UTC().Format(time.RFC3339))
	}
	return nil
}

func (j *Journal) record(c tamarackknot.Change) tamarackknot.Record {
	return tamarackknot.Record{
		ID: uuid.NewString(), Host: j.cfg.Host, Incarnation: j.cfg.Incarnation,
		Time: time.Now().UTC(), Change: c,
	}
}

// ClaimKey implements tamarackknot.Journal.
func (j *Journal) ClaimKey(ctx context.Context, c tamarackknot.KeyClaim) (tamarackknot.KeyOutcome, error) {
	return j.keys.do(ctx, c, false)
}

// FreeKey implements tamarackknot.Journal.
func (j *Journal) FreeKey(ctx context.Context, c tamarackknot.KeyClaim) error {
	_, err := j.keys.do(ctx, c, true)
	return err
}

// Read implements tamarackknot.Journal.
func (j *Journal) Read(fn func(tamarackknot.State)) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	fn(j.ledger)
}

// Changed implements tamarackknot.Journal.
func (j *Journal) Changed() <-chan struct{} {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.changed
}

// Status implements tamarackknot.Journal.
func (j *Journal) Status() tamarackknot.JournalStatus {
	alone := len(j.others()) == 0
	j.mu.RLock()
	defer j.mu.RUnlock()
	s := j.status
	s.Applied, s.ConfigOffset = j.ledger.Applied(), j.ledger.ConfigOffset()
	s.Head = max(s.Head, s.Applied, j.maxApplied)
	contact := s.LogContact
	if s.PeerContact.After(contact) {
		contact = s.PeerContact
	}
	s.Stale = !alone && time.Since(contact) > staleAfter
	return s
}

// SawApplied records an offset that another process has applied, as gossip
// tells.
func (j *Journal) SawApplied(o tamarackknot.Offset) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.maxApplied = max(j.maxApplied, o)
}

// Snapshot returns the encoded state and its offset.
func (j *Journal) Snapshot(ctx context.Context) (tamarackknot.Offset, [][]byte, error) {
	var state *ledger.Ledger
	if err := j.do(ctx, func() { state = j.ledger.Copy() }); err != nil {
		return 0, nil, err
	}
	chunks, err := state.Encode()
	return state.Applied(), chunks, err
}

// do runs fn in the loop.
func (j *Journal) do(ctx context.Context, fn func()) error {
	done := make(chan struct{})
	select {
	case j.requests <- func() { fn(); close(done) }:
		<-done
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-j.ctx.Done():
		return errors.New("journal is closed")
	}
}

// others names the listed entry hosts without this one.
func (j *Journal) others() []string {
	if j.cfg.Peers == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(j.cfg.Hosts()), func(h string) bool { return h == j.cfg.Host })
}

// loop owns the ledger.
func (j *Journal) loop() {
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	j.unsnapped = time.Now()
	for {
		j.read()
		select {
		case <-j.ctx.Done():
			return
		case p := <-j.tail.pages:
			j.reading = false
			j.handlePage(p)
		case r := <-j.recovered:
			j.handleRecovery(r)
		case r := <-j.fetched:
			j.handleFetch(r)
		case fn := <-j.requests:
			fn()
		case <-ticker.C:
			j.lapsed = j.lapsed || j.Status().Stale
			j.fetchFromPeers()
		}
		j.maybeSnapshot()
	}
}

// read asks the tail for the next page unless a recovery may move the state.
func (j *Journal) read() {
	if j.reading || j.recovering {
		return
	}
	j.reading = true
	// A host that is not ready wants to know the head of the log at once.
	j.tail.from <- readRequest{from: j.ledger.Applied() + 1, wait: j.complete && j.isReady()}
}

func (j *Journal) isReady() bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.status.Ready
}

func (j *Journal) handlePage(p pageResult) {
	if p.err != nil {
		j.metrics.readErrors.Inc(1)
		j.mu.Lock()
		if j.downSince.IsZero() {
			j.downSince = time.Now()
			j.log.Warn("log cannot be read", "err", p.err)
		}
		j.mu.Unlock()
		if !j.complete {
			j.recover(tamarackknot.LogPage{})
		}
		return
	}
	j.logReachable(p.page)
	if !j.complete && p.page.First == 1 {
		j.complete, j.readyAt = true, p.page.Next-1
	}
	if !j.complete || p.from < p.page.First {
		j.recover(p.page)
		return
	}
	if p.page.Next < p.from {
		j.log.Error("log has gone back", "next", p.page.Next, "want", p.from)
		return
	}
	j.mu.Lock()
	j.status.LogContact = time.Now()
	j.mu.Unlock()
	j.contactHosts, j.lapsed, j.failures = j.others(), false, 0
	j.applyRecords(p.page.Records)
}

// logReachable notes a successful read and the end of an outage.
func (j *Journal) logReachable(page tamarackknot.LogPage) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.status.Head = max(j.status.Head, page.Next-1)
	if j.downSince.IsZero() {
		return
	}
	outage := time.Since(j.downSince)
	j.downSince = time.Time{}
	j.log.Info("log can be read again", "outage", outage)
	if outage >= outageAfter {
		j.snapshotFrom = max(j.ledger.Applied(), 1)
	}
}

// applyRecords applies the records that follow the state; others are skipped.
func (j *Journal) applyRecords(records []tamarackknot.LogRecord) {
	before := j.ledger.Applied()
	for _, r := range records {
		next := j.ledger.Applied() + 1
		if r.Offset < next {
			continue
		}
		if r.Offset > next {
			j.log.Error("record is missing", "want", next, "got", r.Offset)
			break
		}
		j.mu.Lock()
		rec, out := j.ledger.Apply(r.Offset, r.Data)
		j.mu.Unlock()
		j.ring.add(r)
		j.countBytes(&rec, len(r.Data))
		j.report(&rec, &out)
	}
	j.advanced(j.ledger.Applied() != before)
}

// countBytes counts toward the next snapshot.
func (j *Journal) countBytes(rec *tamarackknot.Record, n int) {
	if last := j.ledger.Snapshot().ID; last != j.countedFrom {
		j.countedFrom, j.recordBytes = last, 0
	}
	if rec.Snapshot == nil {
		j.recordBytes += n
	}
}

// advanced publishes a new state.
func (j *Journal) advanced(changed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	applied := j.ledger.Applied()
	j.maxApplied = max(j.maxApplied, applied)
	if !j.status.Ready && j.complete && applied >= j.readyAt {
		j.status.Ready = true
		j.readySince = time.Now()
		changed = true
		j.log.Info("state is ready", "applied", applied)
	}
	j.metrics.applied.Update(int64(applied))
	if changed {
		close(j.changed)
		j.changed = make(chan struct{})
	}
}

// report completes the proposal that a record came from.
func (j *Journal) report(rec *tamarackknot.Record, out *tamarackknot.Outcome) {
	j.metrics.records.Inc(1)
	if !out.Accepted {
		j.metrics.rejected.Inc(1)
		j.log.Info("record rejected", "offset", out.Offset, "host", rec.Host, "reason", out.Reason, "detail", out.Detail)
	}
	if rec.Host != j.cfg.Host || rec.Incarnation != j.cfg.Incarnation {
		return
	}
	j.waitMu.Lock()
	p := j.waiting[rec.ID]
	delete(j.waiting, rec.ID)
	j.waitMu.Unlock()
	if p != nil {
		p.outcome <- *out
		p.cancel()
	}
}

// replace installs a restored state.
func (j *Journal) replace(l *ledger.Ledger, readyAt tamarackknot.Offset, source string) {
	j.log.Info("state restored", "applied", l.Applied(), "source", source)
	j.metrics.restores.Inc(1)
	j.mu.Lock()
	j.ledger = l
	j.mu.Unlock()
	j.ring.reset(l.Applied() + 1)
	j.complete, j.readyAt = true, readyAt
	j.advanced(true)
}

// maybeSnapshot begins a snapshot when one is due. A random delay and the
// chunks already in the log keep several hosts from writing at once.
func (j *Journal) maybeSnapshot() {
	now := time.Now()
	if j.writing || !j.isReady() || j.recovering || !j.due(now) || !j.cfg.ShouldSnapshot() {
		j.snapshotDue = time.Time{}
		return
	}
	if j.snapshotDue.IsZero() {
		j.snapshotDue = now.Add(rand.N(snapshotJitter))
	}
	if now.Before(j.snapshotDue) {
		return
	}
	j.snapshotDue = time.Time{}
	j.writeSnapshot(j.ledger.Applied())
}

func (j *Journal) due(now time.Time) bool {
	last := j.ledger.Snapshot()
	since := last.Time
	if since.IsZero() {
		since = j.unsnapped
	}
	applied := j.ledger.Applied()
	if applied == 0 || !j.logUp() || now.Sub(j.ledger.PendingSnapshotTime()) < pendingTimeout {
		return false
	}
	return last.Covers < j.snapshotFrom || j.enoughRecords(last) || now.Sub(since) >= j.cfg.Retention/4
}

// enoughRecords reports whether the records since a snapshot justify another.
func (j *Journal) enoughRecords(last ledger.SnapshotInfo) bool {
	if j.cfg.SnapshotRecords > 0 {
		return j.ledger.Applied()-last.Covers >= tamarackknot.Offset(j.cfg.SnapshotRecords)
	}
	return j.recordBytes >= snapshotRatio*chunkBytes*max(last.Count, 1)
}

func (j *Journal) logUp() bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.downSince.IsZero()
}

func (j *Journal) writeSnapshot(covers tamarackknot.Offset) {
	j.writing = true
	w := &snapshotWriter{j: j, covers: covers, state: j.ledger.Copy()}
	j.wg.Go(w.run)
}

// snapshotWriter encodes a copy of the state, which takes longer than the loop
// may be held up, and appends the chunks.
type snapshotWriter struct {
	j      *Journal
	covers tamarackknot.Offset
	state  *ledger.Ledger
}

func (w *snapshotWriter) run() {
	ctx, cancel := context.WithTimeout(w.j.ctx, snapshotLimit)
	defer cancel()
	if err := w.write(ctx); err != nil {
		w.j.log.Warn("snapshot was not written", "covers", w.covers, "err", err)
	}
	_ = w.j.do(w.j.ctx, func() { w.j.writing = false })
}

func (w *snapshotWriter) write(ctx context.Context) error {
	chunks, err := w.state.Encode()
	if err != nil {
		return err
	}
	id := uuid.NewString()
	for i, chunk := range chunks {
		data, err := json.Marshal(w.j.record(tamarackknot.Change{Snapshot: &tamarackknot.SnapshotChunk{
			SnapshotID: id, Index: i, Count: len(chunks), Covers: w.covers, Data: chunk,
		}}))
		if err != nil {
			return errors.Wrap(err, "encode chunk")
		}
		if err := w.j.appender.append(ctx, data); err != nil {
			return err
		}
	}
	w.j.metrics.snapshots.Inc(1)
	w.j.log.Info("snapshot written", "id", id, "covers", w.covers, "chunks", len(chunks))
	return nil
}
