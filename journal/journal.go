// Package journal connects an entry host to the log. It applies the records of
// the log to a ledger, appends proposals and waits until they are read back,
// batches claims on idempotency keys, writes snapshots and catches up from
// peers.
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
	maxPageRecords = 64 // limits the page size: a snapshot chunk has up to 180 KB
	// A long poll, its timeout and several calls to peers must fit into
	// staleAfter. With a long poll of 4 s, a log that hung made hosts stale
	// briefly, so that none of them wrote a bridge afterwards (see recovery).
	longPollTimeout        = 3 * time.Second
	readTimeout            = longPollTimeout + time.Second // a log that does not answer counts as down
	tickInterval           = time.Second
	staleAfter             = 10 * time.Second
	failFastAfter          = 2 * time.Second  // once reads have failed for this long, proposals fail immediately
	longOutage             = 10 * time.Second // an outage of at least this length is followed by a snapshot
	pendingSnapshotTimeout = 10 * time.Second // a partial snapshot without a new chunk for this long counts as abandoned
	snapshotJitter         = time.Second
	snapshotTimeout        = 30 * time.Second
	// A snapshot is due when the records since the last one take snapshotRatio
	// times its bytes. Snapshots then add at most half to the bytes read from
	// the log, and a starting host reads at most three times the state.
	snapshotRatio = 2
	// encodedChunkBytes is the approximate maximum size of a chunk in the log,
	// where JSON encodes its data in base64.
	encodedChunkBytes = ledger.ChunkSize * 4 / 3
)

// Config configures a Journal.
type Config struct {
	Log tamarackknot.Log
	// Peers may be nil; the log is then the only source of records.
	Peers       tamarackknot.Peers
	Host        string
	Incarnation string
	// Hosts returns the names in the host list; nil means that this host is
	// the only one. It must not block.
	Hosts func() []string
	// ShouldSnapshot reports whether this host currently writes the snapshots;
	// nil means always. It must not block.
	ShouldSnapshot func() bool
	// Retention is the log's retention time; default 1 h. Snapshots are at most
	// a quarter of it apart.
	Retention time.Duration
	// SnapshotRecords is the number of records between snapshots; 0 derives it
	// from the size of the last snapshot.
	SnapshotRecords int
	Ledger          ledger.Config
	Logger          *log.Logger      // nil discards
	Metrics         metrics.Registry // nil means a private registry
}

// Journal implements tamarackknot.Journal. Only its loop writes to the ledger.
type Journal struct {
	cfg       Config
	log       *log.Logger
	metrics   journalMetrics
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
	// downSince is the time of the first failed read since the last successful
	// one; zero while the log can be read.
	downSince time.Time
	// maxApplied is the newest offset that any process is known to have
	// applied.
	maxApplied tamarackknot.Offset

	waitMu  sync.Mutex
	waiting map[string]*proposal

	// The fields below belong to loop.
	complete              bool                // the ledger holds all changes up to its offset
	readyAt               tamarackknot.Offset // the state is ready from this offset on
	ring                  ring
	reading               bool
	fetching              bool
	recovering            bool
	consecutiveRecoveries int // since the last read page that follows the state
	// contactHosts are the other hosts that were listed when the log last
	// provided the records that follow the state.
	contactHosts []string
	// wasStale says that this host has been stale at some time since that read.
	wasStale     bool
	readySince   time.Time // when the state became ready
	encodedState stateResult
	writing      bool      // a snapshot is being written
	snapshotAt   time.Time // when to write the snapshot that is due; zero if none is
	// requestedCovers requests a snapshot that covers at least this offset.
	requestedCovers tamarackknot.Offset
	startTime       time.Time // the snapshot interval begins here while there is no snapshot
	// recordBytes counts the bytes of all records except snapshot chunks that
	// were read since the snapshot countedSnapshotID was completed, or since
	// the state was restored.
	recordBytes       int
	countedSnapshotID string
	encodeMu          sync.Mutex // lets joining hosts share one encoding
}

var _ tamarackknot.Journal = (*Journal)(nil)

type proposal struct {
	outcome chan tamarackknot.Outcome // capacity 1
	cancel  context.CancelFunc        // ends the append
}

// New returns a Journal that has not been started and registers its peer
// methods.
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
		metrics:   newJournalMetrics(cfg.Metrics),
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

// Start starts to read the log.
func (j *Journal) Start() {
	for _, run := range []func(){j.loop, j.tailLoop, j.keysLoop} {
		j.wg.Go(run)
	}
}

// Close stops all goroutines. Pending proposals return an error.
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
			return checkDuplicate(out)
		case <-ctx.Done():
			return tamarackknot.Outcome{}, fmt.Errorf("%w: %w", tamarackknot.ErrOutcomeUnknown, ctx.Err())
		case <-j.ctx.Done():
			return tamarackknot.Outcome{}, fmt.Errorf("%w: journal is closed", tamarackknot.ErrOutcomeUnknown)
		}
	}
	select {
	case out := <-p.outcome:
		j.metrics.propose.Update(time.Since(began).Milliseconds())
		return checkDuplicate(out)
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

// checkDuplicate returns ErrOutcomeUnknown for the outcome of a second copy of a
// record: the first copy was applied in a part of the log that this host
// skipped, so its outcome is not known here.
func checkDuplicate(out tamarackknot.Outcome) (tamarackknot.Outcome, error) {
	if out.Reason == tamarackknot.ReasonDuplicate {
		return out, fmt.Errorf("%w: only a second copy was read", tamarackknot.ErrOutcomeUnknown)
	}
	return out, nil
}

// admit rejects proposals while their outcome cannot be read back.
func (j *Journal) admit() error {
	j.mu.RLock()
	ready, down := j.status.Ready, j.downSince
	j.mu.RUnlock()
	switch {
	case j.ctx.Err() != nil:
		return fmt.Errorf("%w: journal is closed", tamarackknot.ErrNotAppended)
	case !ready:
		return fmt.Errorf("%w: %w", tamarackknot.ErrNotAppended, tamarackknot.ErrNotReady)
	case !down.IsZero() && time.Since(down) > failFastAfter:
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
	noPeers := len(j.otherHosts()) == 0
	j.mu.RLock()
	defer j.mu.RUnlock()
	s := j.status
	s.Applied, s.ConfigOffset = j.ledger.Applied(), j.ledger.ConfigOffset()
	s.Head = max(s.Head, s.Applied, j.maxApplied)
	contact := s.LogContact
	if s.PeerContact.After(contact) {
		contact = s.PeerContact
	}
	s.Stale = !noPeers && time.Since(contact) > staleAfter
	return s
}

// ObserveApplied records an offset that another process has reported as applied.
func (j *Journal) ObserveApplied(o tamarackknot.Offset) {
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

// do runs fn in the loop and waits for it.
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

// otherHosts returns the listed entry hosts except this one.
func (j *Journal) otherHosts() []string {
	if j.cfg.Peers == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(j.cfg.Hosts()), func(h string) bool { return h == j.cfg.Host })
}

// loop applies pages and recovered states to the ledger and starts reads,
// recoveries and snapshots.
func (j *Journal) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	j.startTime = time.Now()
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
			j.wasStale = j.wasStale || j.Status().Stale
			j.fetchFromPeers()
		}
		j.maybeSnapshot()
	}
}

// read requests the next page from the tail, except during a recovery, which
// may replace the state.
func (j *Journal) read() {
	if j.reading || j.recovering {
		return
	}
	j.reading = true
	// A host that is not ready needs the end of the log immediately.
	j.tail.requests <- readRequest{from: j.ledger.Applied() + 1, wait: j.complete && j.isReady()}
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
	j.handleReadSuccess(p.page)
	if !j.complete && p.page.First == 1 {
		j.complete, j.readyAt = true, p.page.Next-1
	}
	if !j.complete || p.from < p.page.First {
		j.recover(p.page)
		return
	}
	if p.page.Next < p.from {
		j.log.Error("end of the log has moved back", "next", p.page.Next, "want", p.from)
		return
	}
	j.mu.Lock()
	j.status.LogContact = time.Now()
	j.mu.Unlock()
	j.contactHosts, j.wasStale, j.consecutiveRecoveries = j.otherHosts(), false, 0
	j.applyRecords(p.page.Records)
}

// handleReadSuccess updates the status after a successful read and requests a
// snapshot after a long outage.
func (j *Journal) handleReadSuccess(page tamarackknot.LogPage) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.status.Head = max(j.status.Head, page.Next-1)
	if j.downSince.IsZero() {
		return
	}
	outage := time.Since(j.downSince)
	j.downSince = time.Time{}
	j.log.Info("log can be read again", "outage", outage)
	if outage >= longOutage {
		j.requestedCovers = max(j.ledger.Applied(), 1)
	}
}

// applyRecords applies the records that follow the state. It skips older
// records and stops at a gap.
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
		j.handleOutcome(&rec, &out)
	}
	j.publish(j.ledger.Applied() != before)
}

// countBytes adds n bytes of a record to those since the last snapshot.
func (j *Journal) countBytes(rec *tamarackknot.Record, n int) {
	if last := j.ledger.Snapshot().ID; last != j.countedSnapshotID {
		j.countedSnapshotID, j.recordBytes = last, 0
	}
	if rec.Snapshot == nil {
		j.recordBytes += n
	}
}

// publish updates the status after records were applied or a state was
// installed, and signals a change of the state.
func (j *Journal) publish(changed bool) {
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

// handleOutcome counts a record and completes the proposal that it came from.
func (j *Journal) handleOutcome(rec *tamarackknot.Record, out *tamarackknot.Outcome) {
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

// installState replaces the ledger by a restored state, which is ready when it
// has reached the offset readyAt.
func (j *Journal) installState(l *ledger.Ledger, readyAt tamarackknot.Offset, source string) {
	j.log.Info("state restored", "applied", l.Applied(), "source", source)
	j.metrics.restores.Inc(1)
	j.mu.Lock()
	j.ledger = l
	j.mu.Unlock()
	j.ring.reset(l.Applied() + 1)
	j.complete, j.readyAt = true, readyAt
	j.publish(true)
}

// maybeSnapshot starts a snapshot when one is due. Jitter and the chunks that
// are already in the log keep several hosts from writing at the same time.
func (j *Journal) maybeSnapshot() {
	now := time.Now()
	if j.writing || !j.isReady() || j.recovering || !j.needsSnapshot(now) || !j.cfg.ShouldSnapshot() {
		j.snapshotAt = time.Time{}
		return
	}
	if j.snapshotAt.IsZero() {
		j.snapshotAt = now.Add(rand.N(snapshotJitter))
	}
	if now.Before(j.snapshotAt) {
		return
	}
	j.snapshotAt = time.Time{}
	j.writeSnapshot(j.ledger.Applied())
}

func (j *Journal) needsSnapshot(now time.Time) bool {
	last := j.ledger.Snapshot()
	since := last.Time
	if since.IsZero() {
		since = j.startTime
	}
	applied := j.ledger.Applied()
	if applied == 0 || !j.logUp() || now.Sub(j.ledger.PendingSnapshotTime()) < pendingSnapshotTimeout {
		return false
	}
	return last.Covers < j.requestedCovers || j.enoughRecords(last) || now.Sub(since) >= j.cfg.Retention/4
}

// enoughRecords reports whether enough records follow the last snapshot for
// another one.
func (j *Journal) enoughRecords(last ledger.SnapshotInfo) bool {
	if j.cfg.SnapshotRecords > 0 {
		return j.ledger.Applied()-last.Covers >= tamarackknot.Offset(j.cfg.SnapshotRecords)
	}
	return j.recordBytes >= snapshotRatio*encodedChunkBytes*max(last.Count, 1)
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

// snapshotWriter encodes a copy of the state and appends the chunks. It runs
// outside the loop because encoding takes too long to block it.
type snapshotWriter struct {
	j      *Journal
	covers tamarackknot.Offset
	state  *ledger.Ledger
}

func (w *snapshotWriter) run() {
	ctx, cancel := context.WithTimeout(w.j.ctx, snapshotTimeout)
	defer cancel()
	if err := w.write(ctx); err != nil {
		w.j.log.Warn("failed to write snapshot", "covers", w.covers, "err", err)
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
