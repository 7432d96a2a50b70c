package caller

import (
	"container/list"
	"net/http"
	"sync"
	"time"

	"tamarackknot.example/tamarackknot"
)

// keySweepInterval is the minimum time between removals of expired keys.
const keySweepInterval = 10 * time.Second

// recording is the stored response to a keyed request.
type recording struct {
	status  int
	header  http.Header
	body    []byte
	trailer http.Header
	// failure is set if the response is an error from this host.
	failure *failure
	// incomplete says that the response was too large to store.
	incomplete bool
}

// keyedRequest is a request that holds its idempotency key on this host.
type keyedRequest struct {
	key     string
	digest  string
	expires time.Time
	done    chan struct{}
	// result is set before done is closed. It is nil if the request did not run.
	result *recording
	// claimed says that this host's claim of the key was accepted. If the request
	// then did not run, its caller has received notRun and none of the requests
	// that wait for it may run. If the claim was not accepted, one of them
	// replaces it. Guarded by keyStore.mu.
	claimed bool
	size    int
	element *list.Element
}

// keyStore holds the keyed requests of this host and their responses until the
// keys expire. If the responses exceed maxBytes, it evicts the oldest ones.
type keyStore struct {
	maxBytes int

	mu        sync.Mutex
	entries   map[string]*keyedRequest
	bytes     int
	order     *list.List // of completed requests, oldest first
	lastSweep time.Time
	// unsent holds the keys that may be claimed by this process although it sent
	// no request with them and is not freeing them.
	unsent map[string]unsentKey
}

// unsentKey is a key in keyStore.unsent. Only requests that arrived after since
// may use it, because the callers of earlier ones may have received notRun.
type unsentKey struct {
	since   time.Time
	expires time.Time
}

func newKeyStore(maxBytes int) *keyStore {
	return &keyStore{
		maxBytes: maxBytes, entries: map[string]*keyedRequest{}, order: list.New(), unsent: map[string]unsentKey{},
	}
}

// begin returns the request that holds the key of c and whether it was created by
// this call.
func (s *keyStore) begin(c tamarackknot.KeyClaim, now time.Time) (*keyedRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastSweep) > keySweepInterval {
		s.sweep(now)
	}
	if k := s.entries[c.Key]; k != nil {
		return k, false
	}
	k := &keyedRequest{
		key: c.Key, digest: c.Digest, done: make(chan struct{}),
		// The state machine removes a key one minute after it has expired.
		expires: c.Created.Add(keyMaxAge + time.Minute),
	}
	s.entries[c.Key] = k
	return k, true
}

func (s *keyStore) sweep(now time.Time) {
	s.lastSweep = now
	for key, k := range s.entries {
		if k.result != nil && now.After(k.expires) {
			delete(s.entries, key)
			s.removeFromOrder(k)
		}
	}
	for key, u := range s.unsent {
		if now.After(u.expires) {
			delete(s.unsent, key)
		}
	}
}

// removeFromOrder removes a completed request from the eviction order and from
// the number of stored bytes.
func (s *keyStore) removeFromOrder(k *keyedRequest) {
	if k.element == nil {
		return
	}
	s.order.Remove(k.element)
	k.element = nil
	s.bytes -= k.size
}

// finish stores the response to a request that has run or may have run, and
// evicts the oldest responses if there is too little space.
func (s *keyStore) finish(k *keyedRequest, rec *recording) {
	const overhead = 1024 // bytes for headers and data structures of one request
	s.mu.Lock()
	defer s.mu.Unlock()
	k.size = len(rec.body) + overhead
	s.bytes += k.size
	k.element = s.order.PushBack(k)
	k.result = rec
	close(k.done)
	for s.bytes > s.maxBytes {
		oldest, _ := s.order.Front().Value.(*keyedRequest)
		s.removeFromOrder(oldest)
		// A repeat then finds only the claim in the journal and receives the run
		// status unknown.
		delete(s.entries, oldest.key)
	}
}

// abandon removes a request that did not run.
func (s *keyStore) abandon(k *keyedRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, k.key)
	close(k.done)
}

// setClaimed records that this host's claim of a key was accepted.
func (s *keyStore) setClaimed(k *keyedRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k.claimed = true
}

func (s *keyStore) isClaimed(k *keyedRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return k.claimed
}

// setUnsent records that this process may own the key of k without having sent a
// request with it. Only requests that arrived after since may use the key.
func (s *keyStore) setUnsent(k *keyedRequest, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsent[k.key] = unsentKey{since: since, expires: k.expires}
}

// takeUnsent reports whether a request that arrived at the given time may use a
// key recorded by setUnsent. If so, it removes the key from the unsent ones and
// returns since.
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
