package relay

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

const (
	methodRead = "relay.read"
	// maxReaders is the number of hosts that are asked to read the store: it may turn a part
	// of the hosts away. readThroughWait is how long each waits for new records.
	maxReaders      = 3
	readThroughWait = 300 * time.Millisecond
)

// pageParams asks a host to read a stream of the store from a position on.
type pageParams struct {
	Stream tamarackknot.Stream   `json:"stream"`
	From   tamarackknot.Position `json:"from"`
	WaitMs int64                 `json:"waitMs"`
}

// pageResult is the page that a host has read for another one.
type pageResult struct {
	Records []tamarackknot.KeyedRecord `json:"records,omitempty"`
	Next    tamarackknot.Position      `json:"next"`
	// End is the end of the stream at the store; earlier builds don't say it.
	End tamarackknot.Position `json:"end"`
	// Expired stands for ErrExpired.
	Expired bool `json:"expired,omitempty"`
}

// readThrough reads a stream by other hosts, which read the store for this one. Unlike
// mirrored records the page is as recent as one that this host has read itself. If there are
// no newer records, it waits for some until the deadline, but not for longer than
// readThroughWait.
func (s *Store) readThrough(ctx context.Context, stream tamarackknot.Stream, from tamarackknot.Position, deadline time.Time) (tamarackknot.StreamPage, error) {
	err := errNoHost
	wait := min(max(time.Until(deadline), 0), readThroughWait)
	for _, host := range s.readers() {
		var r pageResult
		if err = s.callHost(ctx, host, methodRead, pageParams{stream, from, wait.Milliseconds()}, &r); err != nil {
			s.cfg.Logger.Debug("cannot read the store through host", "host", host, "stream", stream, "error", err)
			continue
		}
		if r.Expired {
			return tamarackknot.StreamPage{}, errors.Wrapf(tamarackknot.ErrExpired, "read a stream through %s", host)
		}
		page := tamarackknot.StreamPage{Records: r.Records, End: r.End, Next: r.Next}
		if r.End == (tamarackknot.Position{}) {
			// There may be more than the page holds.
			page.End = tamarackknot.Position{Era: r.Next.Era, Offset: r.Next.Offset + 1}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reader = host
		s.mirrors[stream].merge(page)
		return page, nil
	}
	return tamarackknot.StreamPage{}, err
}

// readers returns the hosts that are asked to read the store: the one that last could, and
// some at random.
func (s *Store) readers() []string {
	hosts := s.randomHosts(maxReaders)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader == "" || slices.Contains(hosts, s.reader) {
		return hosts
	}
	return append([]string{s.reader}, hosts...)
}

// handleRead reads the store for another host. The records are not merged into the mirror,
// which may lack those before them.
func (s *Store) handleRead(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var p pageParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	if s.mirrors[p.Stream] == nil {
		return nil, errors.Newf("stream %q is not read for other hosts", p.Stream)
	}
	wait := min(max(time.Duration(p.WaitMs)*time.Millisecond, 0), readThroughWait)
	page, err := s.Store.Read(ctx, p.Stream, p.From, time.Now().Add(wait))
	if errors.Is(err, tamarackknot.ErrExpired) {
		return pageResult{Expired: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return pageResult{Records: page.Records, Next: page.Next, End: page.End}, nil
}
