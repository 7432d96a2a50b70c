package relay

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

const (
	methodForward = "relay.forward"
	// forwardDelay is how long a call for the lease, which expires, waits for the store
	// before it also goes through another host. A slow store answers in that time. Other
	// calls wait until the first one has failed: the store may only be busy, for instance
	// with the registrations of all hosts.
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

// definite reports whether an error tells what the store has done.
func definite(err error) bool {
	return errors.Is(err, tamarackknot.ErrConflict) || errors.Is(err, tamarackknot.ErrRestored) || errors.Is(err, tamarackknot.ErrExpired)
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

// callOutcome is the result of one way to make a call.
type callOutcome struct {
	result forwardResult
	err    error
}

// pendingCall makes a call in its own goroutine.
type pendingCall struct {
	call   func(context.Context, forwardParams) (forwardResult, error)
	params forwardParams
	done   chan<- callOutcome
}

func (c pendingCall) run(ctx context.Context) {
	r, err := c.call(ctx, c.params)
	c.done <- callOutcome{r, err}
}

// callOrForward makes a call at the store and, if that fails or takes longer than
// forwardDelay for the lease, also through other hosts. A success counts before another definite
// outcome, and that before an error of the direct call.
func (s *Store) callOrForward(ctx context.Context, p forwardParams) (forwardResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan callOutcome, 2)
	go pendingCall{s.call, p, done}.run(ctx)
	var delayed <-chan time.Time
	if p.Stream == tamarackknot.StreamLease {
		delay := time.NewTimer(forwardDelay)
		defer delay.Stop()
		delayed = delay.C
	}
	var outcome callOutcome
	forwarded := false
	for pending := 1; pending > 0; {
		select {
		case o := <-done:
			pending--
			if o.err == nil {
				return o.result, nil
			}
			if outcome.err == nil || definite(o.err) {
				outcome = o
			}
		case <-delayed:
		}
		if !forwarded && !definite(outcome.err) && ctx.Err() == nil {
			forwarded = true
			pending++
			go pendingCall{s.forward, p, done}.run(ctx)
		}
	}
	return outcome.result, outcome.err
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
	err := errNoHost
	for _, host := range s.randomHosts(maxForwards) {
		var r forwardResult
		if err = s.callHost(ctx, host, methodForward, p, &r); err == nil {
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
