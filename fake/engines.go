package fake

import (
	"context"
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

var _ tamarackknot.Engine = (*Engines)(nil)

// Engines calls in-process engines by address. Requests to and answers from an
// address can be dropped independently.
type Engines struct {
	mu           sync.Mutex
	engines      map[string]*Engine
	dropRequests map[string]bool // by address
	dropAnswers  map[string]bool // by address
}

// NewEngines returns an empty set of engines.
func NewEngines() *Engines {
	return &Engines{
		engines:      make(map[string]*Engine),
		dropRequests: make(map[string]bool),
		dropAnswers:  make(map[string]bool),
	}
}

// Put makes an engine reachable at an address.
func (s *Engines) Put(address string, e *Engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines[address] = e
}

// Partition sets which messages of an address are dropped. With dropRequests,
// calls fail without effect; with dropAnswers, they take effect but their result
// is unknown.
func (s *Engines) Partition(address string, dropRequests, dropAnswers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropRequests[address] = dropRequests
	s.dropAnswers[address] = dropAnswers
}

// Order implements tamarackknot.Engine. If requests are dropped, the order is
// refused at once, as if the connection could not be opened.
func (s *Engines) Order(ctx context.Context, address string, o tamarackknot.Order) tamarackknot.OrderResult {
	e, dropAnswer, err := s.lookup(address)
	if err != nil {
		return refused(err.Error())
	}
	result := e.Order(ctx, o)
	if dropAnswer {
		<-ctx.Done()
		return tamarackknot.OrderResult{Outcome: tamarackknot.OrderUnknown, Message: ctx.Err().Error()}
	}
	return result
}

// Report implements tamarackknot.Engine.
func (s *Engines) Report(ctx context.Context, address string) (tamarackknot.Report, error) {
	e, dropAnswer, err := s.lookup(address)
	if err != nil {
		return tamarackknot.Report{}, err
	}
	if dropAnswer {
		<-ctx.Done()
		return tamarackknot.Report{}, errors.Wrapf(ctx.Err(), "no report from %s", address)
	}
	return e.Report(ctx)
}

func (s *Engines) lookup(address string) (e *Engine, dropAnswer bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.engines[address]
	if !ok || s.dropRequests[address] {
		return nil, false, fmt.Errorf("endpoint %s cannot be reached", address)
	}
	return e, s.dropAnswers[address], nil
}
