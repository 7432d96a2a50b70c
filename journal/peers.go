package journal

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/ledger"
)

// Method names on tamarackknot.Peers.
const (
	methodRecords = "records"
	methodState   = "state"
)

const (
	// peerTimeout limits a call. At the target size the state has about 1 MB.
	peerTimeout = 2 * time.Second
	// maxRecordsBytes limits the records in one answer.
	maxRecordsBytes = 1 << 20
)

type recordsParams struct {
	From tamarackknot.Offset `json:"from"`
}

type recordsResult struct {
	peerStatus
	// First is the offset of the oldest record that the peer keeps.
	First   tamarackknot.Offset `json:"first"`
	Records []peerRecord        `json:"records,omitempty"`
}

type peerRecord struct {
	Offset tamarackknot.Offset `json:"offset"`
	Data   []byte              `json:"data"` // may be malformed JSON, so it is not embedded
}

// peerStatus describes the state of a peer without its contents.
type peerStatus struct {
	Ready   bool                `json:"ready"`
	Applied tamarackknot.Offset `json:"applied"`
	// ReadyFor is the time since the process became ready.
	ReadyFor time.Duration `json:"readyFor"`
	// WasStale says that the peer has been stale at some time since it last read
	// the records that follow its state.
	WasStale bool `json:"lapsed,omitempty"`
}

type stateParams struct {
	// After requests a state newer than this offset.
	After tamarackknot.Offset `json:"after"`
	// StatusOnly requests an answer without chunks.
	StatusOnly bool `json:"headOnly,omitempty"`
}

type stateResult struct {
	peerStatus
	// Covers is the offset of the encoded state. It may be less than Applied if
	// the peer still keeps the records between them.
	Covers tamarackknot.Offset `json:"covers,omitempty"`
	Chunks [][]byte            `json:"chunks,omitempty"`
}

func (j *Journal) peerStatus() peerStatus {
	s := peerStatus{Ready: j.complete && j.isReady(), Applied: j.ledger.Applied(), WasStale: j.wasStale}
	if s.Ready {
		s.ReadyFor = time.Since(j.readySince)
	}
	return s
}

func (j *Journal) handleRecords(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var p recordsParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, errors.Wrap(err, "decode parameters of records")
	}
	var res recordsResult
	err := j.do(ctx, func() {
		res.peerStatus, res.First = j.peerStatus(), j.ring.first()
		for _, r := range j.ring.from(p.From, maxRecordsBytes) {
			res.Records = append(res.Records, peerRecord{Offset: r.Offset, Data: r.Data})
		}
	})
	return &res, err
}

func (j *Journal) handleState(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var p stateParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, errors.Wrap(err, "decode parameters of state")
	}
	if !p.StatusOnly {
		j.encodeMu.Lock()
		defer j.encodeMu.Unlock()
	}
	var res stateResult
	var state *ledger.Ledger
	if err := j.do(ctx, func() { res, state = j.stateAfter(p) }); err != nil || state == nil {
		return &res, err
	}
	chunks, err := state.Encode()
	if err != nil {
		return nil, err
	}
	res.Covers, res.Chunks = state.Applied(), chunks
	return &res, j.do(ctx, func() { j.encodedState = stateResult{Covers: res.Covers, Chunks: chunks} })
}

// stateAfter returns the last encoded state if the ring has all records since,
// so that many joining hosts share one encoding. Otherwise it returns a copy of
// the state for the caller to encode.
func (j *Journal) stateAfter(p stateParams) (stateResult, *ledger.Ledger) {
	status := j.peerStatus()
	if p.StatusOnly || !status.Ready || status.Applied < p.After {
		return stateResult{peerStatus: status}, nil
	}
	if j.encodedState.Chunks == nil || j.encodedState.Covers <= p.After || j.encodedState.Covers+1 < j.ring.first() {
		return stateResult{peerStatus: status}, j.ledger.Copy()
	}
	return stateResult{peerStatus: status, Covers: j.encodedState.Covers, Chunks: j.encodedState.Chunks}, nil
}

// fetch requests the records that follow this host's state from one peer while
// the log cannot be read.
type fetch struct {
	j    *Journal
	peer string
	from tamarackknot.Offset

	res recordsResult
	err error
}

func (j *Journal) fetchFromPeers() {
	j.mu.RLock()
	contact := time.Since(j.status.LogContact) <= readTimeout
	j.mu.RUnlock()
	if j.logUp() && contact || j.fetching {
		return
	}
	peers := j.otherHosts()
	if len(peers) == 0 {
		return
	}
	j.fetching = true
	f := &fetch{j: j, peer: peers[rand.IntN(len(peers))], from: j.ledger.Applied() + 1}
	j.wg.Go(f.run)
}

func (f *fetch) run() {
	ctx, cancel := context.WithTimeout(f.j.ctx, peerTimeout)
	defer cancel()
	f.err = f.j.cfg.Peers.Call(ctx, f.peer, methodRecords, recordsParams{From: f.from}, &f.res)
	f.j.fetched <- *f
}

func (j *Journal) handleFetch(f fetch) {
	j.fetching = false
	if f.err != nil || !f.res.Ready {
		return
	}
	if !j.complete || f.res.First > j.ledger.Applied()+1 && f.res.Applied > j.ledger.Applied() {
		j.recover(tamarackknot.LogPage{})
		return
	}
	records := make([]tamarackknot.LogRecord, 0, len(f.res.Records))
	for _, r := range f.res.Records {
		records = append(records, tamarackknot.LogRecord(r))
	}
	before := j.ledger.Applied()
	j.applyRecords(records)
	applied := j.ledger.Applied()
	j.metrics.peerRecords.Inc(int64(applied - before))
	j.mu.Lock()
	defer j.mu.Unlock()
	j.maxApplied = max(j.maxApplied, f.res.Applied)
	if f.res.Applied >= applied && applied >= j.maxApplied {
		j.status.PeerContact = time.Now()
	}
}
