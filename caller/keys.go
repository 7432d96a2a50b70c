package caller

import (
	"container/list"
	"net/http"
	"sync"
	"time"

	"tamarackknot.example/tamarackknot"
)

// keySweepInterval is how often expired keys are looked for.
const keySweepInterval = 10 * time.Second

// recording is the answer to a keyed request, for repeats of it.
type recording struct {
	status  int
	header  http.Header
	body    []byte
	trailer http.Header
	// failure is set if the answer is an error of this host.
	failure *failure
	// incomplete says that the response was too large to keep or has been
	// dropped.
	incomplete bool
}

// keyed is a request that holds its key on this host.
type keyed struct {
	key     string
	digest  string
	expires time.Time
	done    chan struct{}
	// result is set before done is closed. It stays nil if the request did not
	// run.
	result *recording
	// claimed says that this host's claim of the key was accepted; guarded by
	// keyStore.mu. If the request then did not run, its caller was told so and
	// none of those who wait may run; otherwise one of them takes its place.
	claimed bool
	size    int
	place   *list.Element
}

// keyStore holds the keyed requests of this host and their answers until the
// keys expire.
type keyStore struct {
	maxBytes int

	mu      sync.Mutex
	entries map[string]*keyed
	bytes   int
	order   *list.List // of completed requests, oldest first
	swept   time.Time
	// unsent has the keys that may be claimed for this process although it has
	// sent no request under them and has no order outstanding to free them.
	unsent map[string]unsentKey
}

// unsentKey may be used by requests that arrived after since; callers of
// earlier ones may have been told that the request did not run.
type unsentKey struct {
	since   time.Time
	expires time.Time
}

func newKeyStore(maxBytes int) *keyStore {
	return &keyStore{
		maxBytes: maxBytes, entries: map[string]*keyed{}, order: list.New(), unsent: map[string]unsentKey{},
	}
}

// begin returns the request that holds the key, and whether it is the new one.
func (s *keyStore) begin(c tamarackknot.KeyClaim, now time.Time) (*keyed, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.swept) > keySweepInterval {
		s.sweep(now)
	}
	if k := s.entries[c.Key]; k != nil {
		return k, false
	}
	k := &keyed{
		key: c.Key, digest: c.Digest, done: make(chan struct{}),
		// The state machine forgets a key a minute after it has expired.
		expires: c.Created.Add(keyMaxAge + time.Minute),
	}
	s.entries[c.Key] = k
	return k, true
}

func (s *keyStore) sweep(now time.Time) {
	s.swept = now
	for key, k := range s.entries {
		if k.result != nil && now.After(k.expires) {
			delete(s.entries, key)
			s.drop(k)
		}
	}
	for key, u := range s.unsent {
		if now.After(u.expires) {
			delete(s.unsent, key)
		}
	}
}

// drop forgets the body of a completed request.
func (s *keyStore) drop(k *keyed) {
	if k.place == nil {
		return
	}
	s.order.Remove(k.place)
	k.place = nil
	s.bytes -= k.size
}

// finish stores the answer of a request that has, or may have, run.
func (s *keyStore) finish(k *keyed, rec *recording) {
	const overhead = 1024 // headers and bookkeeping of one request
	s.mu.Lock()
	defer s.mu.Unlock()
	k.size = len(rec.body) + overhead
	s.bytes += k.size
	k.place = s.order.PushBack(k)
	k.result = rec
	close(k.done)
	for s.bytes > s.maxBytes {
		oldest, _ := s.order.Front().Value.(*keyed)
		s.drop(oldest)
		// Without an entry a repeat finds the claim in the journal and is told
		// that the outcome is unknown.
		delete(s.entries, oldest.key)
	}
}

// abandon ends a request that did not run.
func (s *keyStore) abandon(k *keyed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, k.key)
	close(k.done)
}

// setClaimed records that this host's claim of a key was accepted.
func (s *keyStore) setClaimed(k *keyed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k.claimed = true
}

func (s *keyStore) isClaimed(k *keyed) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return k.claimed
}

// setUnsent records that this process may own a key and has sent nothing. Only
// requests that arrived after since may use it.
func (s *keyStore) setUnsent(k *keyed, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsent[k.key] = unsentKey{since: since, expires: k.expires}
}

// takeUnsent reports whether a request that arrived at a time may use a key
// that setUnsent was called for, and forgets the key if so.
func (s *keyStore) takeUnsent(key string, arrived time.Time) (since time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.unsent[key]
	if !ok || !arrived.After(u.since) {
		return time.Time{}, false
	}
	delete(s.unsent, key)
	return u.since, true
}
