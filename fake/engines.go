package fake

import (
	"context"
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

var _ tamarackknot.Engine = (*Engines)(nil)

// Engines reaches engines by address without a network. An address can be cut
// off in each direction.
type Engines struct {
	mu      sync.Mutex
	engines map[string]*Engine
	blocked map[string]bool // requests do not arrive
	mute    map[string]bool // answers do not arrive
}

// NewEngines returns a set without engines.
func NewEngines() *Engines {
	return &Engines{
		engines: make(map[string]*Engine),
		blocked: make(map[string]bool),
		mute:    make(map[string]bool),
	}
}

// Put makes an engine reachable at an address.
func (s *Engines) Put(address string, e *Engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines[address] = e
}

// Partition says which direction of an address is cut: requests, so that
// nothing arrives, and answers, so that effects stay unknown.
func (s *Engines) Partition(address string, requests, answers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocked[address] = requests
	s.mute[address] = answers
}

// Order implements tamarackknot.Engine. With requests cut off it is refused at
// once, as a connection that cannot be opened is.
func (s *Engines) Order(ctx context.Context, address string, o tamarackknot.Order) tamarackknot.OrderResult {
	e, mute, err := s.reach(address)
	if err != nil {
		return refused(err.Error())
	}
	result := e.Order(ctx, o)
	if mute {
		<-ctx.Done()
		return tamarackknot.OrderResult{Outcome: tamarackknot.OrderUnknown, Message: ctx.Err().Error()}
	}
	return result
}

// Report implements tamarackknot.Engine.
func (s *Engines) Report(ctx context.Context, address string) (tamarackknot.Report, error) {
	e, mute, err := s.reach(address)
	if err != nil {
		return tamarackknot.Report{}, err
	}
	if mute {
		<-ctx.Done()
		return tamarackknot.Report{}, errors.Wrapf(ctx.Err(), "no report from %s", address)
	}
	return e.Report(ctx)
}

func (s *Engines) reach(address string) (e *Engine, mute bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.engines[address]
	if !ok || s.blocked[address] {
		return nil, false, fmt.Errorf("endpoint %s cannot be reached", address)
	}
	return e, s.mute[address], nil
}
