package relay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

const (
	methodForward = "relay.forward"
	// forwardDelay is how long a call waits for the store before it also goes
	// through another host. A slow store answers in that time.
	forwardDelay = 250 * time.Millisecond
	// maxForwards is the number of hosts through which a call is tried.
	maxForwards = 2
)

// forwardParams is a call that the receiving host makes at the store: a listing,
// or an append of Key and Value, at the position End if AtEnd is set.
type forwardParams struct {
	Stream tamarackknot.Stream   `json:"stream"`
	List   bool                  `json:"list,omitempty"`
	Key    string                `json:"key,omitempty"`
	Value  []byte                `json:"value,omitempty"`
	AtEnd  bool                  `json:"atEnd,omitempty"`
	End    tamarackknot.Position `json:"end"`
}

// forwardResult is the outcome of a forwarded call.
type forwardResult struct {
	Records  []tamarackknot.KeyedRecord `json:"records,omitempty"`
	Position tamarackknot.Position      `json:"position"`
	// Conflict and Restored stand for ErrConflict and ErrRestored.
	Conflict bool `json:"conflict,omitempty"`
	Restored bool `json:"restored,omitempty"`
}

// err returns the error of the store that the result stands for.
func (r forwardResult) err() error {
	switch {
	case r.Conflict:
		return tamarackknot.ErrConflict
	case r.Restored:
		return tamarackknot.ErrRestored
	default:
		return nil
	}
}

// definite reports whether an outcome tells what the store has done.
func definite(err error) bool {
	return err == nil || errors.Is(err, tamarackknot.ErrConflict) || errors.Is(err, tamarackknot.ErrRestored) || errors.Is(err, tamarackknot.ErrExpired)
}

// Put implements tamarackknot.Store.
func (s *Store) Put(ctx context.Context, stream tamarackknot.Stream, key string, value []byte) (tamarackknot.Position, error) {
	r, err := s.callOrForward(ctx, forwardParams{Stream: stream, Key: key, Value: value})
	return r.Position, err
}

// PutAt implements tamarackknot.Store. The append is conditional, so of the calls
// that are made directly and through other hosts at most one takes effect.
func (s *Store) PutAt(ctx context.Context, stream tamarackknot.Stream, key string, value []byte, end tamarackknot.Position) (tamarackknot.Position, error) {
	r, err := s.callOrForward(ctx, forwardParams{Stream: stream, Key: key, Value: value, AtEnd: true, End: end})
	return r.Position, err
}

// list lists a stream that is not mirrored.
func (s *Store) list(ctx context.Context, stream tamarackknot.Stream) (tamarackknot.StreamPage, error) {
	r, err := s.callOrForward(ctx, forwardParams{Stream: stream, List: true})
	return tamarackknot.StreamPage{Records: r.Records, End: r.Position, Next: r.Position, Full: true}, err
}

// outcome is the result of one way to make a call.
type outcome struct {
	result forwardResult
	err    error
}

// callOrForward makes a call at the store and, if that fails or takes too long,
// through other hosts. The first definite outcome counts, a success before others.
func (s *Store) callOrForward(ctx context.Context, p forwardParams) (forwardResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	direct, forwarded := make(chan outcome, 1), make(chan outcome, 1)
	go func() {
		r, err := s.call(ctx, p)
		direct <- outcome{r, err}
	}()
	timer := time.NewTimer(forwardDelay)
	defer timer.Stop()
	var first outcome
	pending := true
	select {
	case first = <-direct:
		if definite(first.err) || ctx.Err() != nil {
			return first.result, first.err
		}
		pending = false
	case <-timer.C:
	}
	go func() {
		r, err := s.forward(ctx, p)
		forwarded <- outcome{r, err}
	}()
	if !pending {
		if second := <-forwarded; definite(second.err) {
			return second.result, second.err
		}
		return first.result, first.err
	}
	var second outcome
	select {
	case first = <-direct:
		if first.err == nil {
			return first.result, nil
		}
		second = <-forwarded
	case second = <-forwarded:
		if second.err == nil {
			return second.result, nil
		}
		first = <-direct
	}
	if first.err != nil && (second.err == nil || !definite(first.err) && definite(second.err)) {
		return second.result, second.err
	}
	return first.result, first.err
}

// call makes a call at the store from this host.
func (s *Store) call(ctx context.Context, p forwardParams) (forwardResult, error) {
	var r forwardResult
	var err error
	switch {
	case p.List:
		var page tamarackknot.StreamPage
		page, err = s.Store.Newest(ctx, p.Stream)
		r.Records, r.Position = page.Records, page.End
	case p.AtEnd:
		r.Position, err = s.Store.PutAt(ctx, p.Stream, p.Key, p.Value, p.End)
	default:
		r.Position, err = s.Store.Put(ctx, p.Stream, p.Key, p.Value)
	}
	return r, err
}

// forward makes a call through other hosts, one after the other until the outcome
// is definite.
func (s *Store) forward(ctx context.Context, p forwardParams) (forwardResult, error) {
	hosts := s.cfg.Hosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	err := errNoHost
	for _, host := range hosts[:min(len(hosts), maxForwards)] {
		var r forwardResult
		callCtx, cancel := context.WithDeadline(ctx, time.Now().Add(peerTimeout))
		err = s.cfg.Peers.Call(callCtx, host, methodForward, p, &r)
		cancel()
		if err == nil {
			s.cfg.Logger.Info("call made through another host", "stream", p.Stream, "via", host, "list", p.List, "conflict", r.Conflict)
			return r, r.err()
		}
		s.cfg.Logger.Debug("cannot make call through host", "host", host, "stream", p.Stream, "error", err)
	}
	return forwardResult{}, err
}

// errNoHost says that no other host is known.
var errNoHost = errors.New("no other host is known")

// handleForward makes a call for another host.
func (s *Store) handleForward(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var p forwardParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	r, err := s.call(ctx, p)
	switch {
	case errors.Is(err, tamarackknot.ErrConflict):
		r.Conflict = true
	case errors.Is(err, tamarackknot.ErrRestored):
		r.Restored = true
	case err != nil:
		return nil, err
	}
	return r, nil
}
