package relay

import (
	"bytes"
	"cmp"
	"context"
	"encoding/gob"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// listingKey is the key under which hosts fetch all records of a stream as one value. No
	// record has it.
	listingKey = ""
	// startTime is how long a host that starts asks others for its first listing of a stream
	// before it reads the store.
	startTime = 2 * time.Second
	// maxListingAge is the greatest age of a first listing from a host that does not follow a
	// planner.
	maxListingAge = time.Second
	// listingValidity is how long an encoded listing is passed on; what has changed since
	// follows.
	listingValidity = 500 * time.Millisecond
	// minStartPause and maxStartPause bound the pause between two questions for a listing.
	minStartPause = 20 * time.Millisecond
	maxStartPause = 60 * time.Millisecond
)

// errNoListing says that another host has no listing that is recent enough.
var errNoListing = errors.New("the other host has no recent listing")

// listing is all records of a stream as one value.
type listing struct {
	id     valueID
	value  []byte
	readAt time.Time // when the store was read
	madeAt time.Time
}

// listing returns the listing of a mirrored stream, nil if it can't be encoded. s.mu is held.
func (s *Store) listing(stream tamarackknot.Stream) *listing {
	if l := s.listings[stream]; l != nil && time.Since(l.madeAt) < listingValidity && l.id.era == s.mirrors[stream].next.Era {
		return l
	}
	m := s.mirrors[stream]
	records := slices.SortedFunc(maps.Values(m.records), func(a, b tamarackknot.KeyedRecord) int { return cmp.Compare(a.Key, b.Key) })
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(records); err != nil {
		s.cfg.Logger.Error("cannot encode a listing", "stream", stream, "error", err)
		return nil
	}
	l := &listing{valueID{stream, listingKey, m.next.Era, m.next.Offset}, buf.Bytes(), m.readAt, time.Now()}
	s.listings[stream] = l
	return l
}

// describeListing answers a host that asks for all records of a stream.
func (s *Store) describeListing(stream tamarackknot.Stream) recordsResult {
	current := s.cfg.IsCurrent != nil && s.cfg.IsCurrent(stream)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.mirrors[stream]; m == nil || m.readAt.IsZero() {
		return recordsResult{AgeMs: -1}
	}
	l := s.listing(stream)
	if l == nil {
		return recordsResult{AgeMs: -1}
	}
	return recordsResult{
		Next: l.id.offset, Era: l.id.era, Full: true, ListingBytes: len(l.value), AgeMs: time.Since(l.readAt).Milliseconds(), Current: current,
	}
}

// startElsewhere reads a stream for the first time through the hosts that start before this
// one, so that the store does not have to list it for all hosts that start together. It
// reports whether one of them had it in time.
func (s *Store) startElsewhere(ctx context.Context, stream tamarackknot.Stream) (tamarackknot.StreamPage, bool) {
	if s.cfg.StartHosts == nil || !s.neverRead(stream) {
		return tamarackknot.StreamPage{}, false
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(startTime))
	defer cancel()
	for ctx.Err() == nil {
		hosts, known := s.cfg.StartHosts()
		if known && len(hosts) == 0 {
			break
		}
		if known {
			host := hosts[rand.IntN(len(hosts))]
			page, err := s.fetchListing(ctx, host, stream)
			if err == nil {
				s.cfg.Logger.Info("stream listed through another host", "stream", stream, "host", host, "records", len(page.Records))
				return page, true
			}
			s.cfg.Logger.Debug("cannot list stream through another host", "stream", stream, "host", host, "error", err)
		}
		wait.For(ctx, minStartPause+rand.N(maxStartPause-minStartPause))
	}
	return tamarackknot.StreamPage{}, false
}

// neverRead reports whether a mirrored stream was never read.
func (s *Store) neverRead(stream tamarackknot.Stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirrors[stream].readAt.IsZero()
}

// fetchListing reads all records of a stream through a host.
func (s *Store) fetchListing(ctx context.Context, host string, stream tamarackknot.Stream) (tamarackknot.StreamPage, error) {
	var r recordsResult
	if err := s.callHost(ctx, host, methodRecords, recordsParams{Stream: stream, Chunks: true, Listing: true}, &r); err != nil {
		return tamarackknot.StreamPage{}, err
	}
	if r.AgeMs < 0 || r.ListingBytes == 0 || !r.Current && r.age() > maxListingAge {
		return tamarackknot.StreamPage{}, errNoListing
	}
	value, err := s.fetchValue(ctx, host, chunkParams{Stream: stream, Key: listingKey, Era: r.Era, Offset: r.Next}, r.ListingBytes)
	if err != nil {
		return tamarackknot.StreamPage{}, err
	}
	page := tamarackknot.StreamPage{End: r.next(), Next: r.next(), Full: true, Relayed: true}
	if err := gob.NewDecoder(bytes.NewReader(value)).Decode(&page.Records); err != nil {
		return tamarackknot.StreamPage{}, errors.Wrapf(err, "decode a listing of %s", host)
	}
	s.mergeRelayed(stream, page, r)
	return page, nil
}
