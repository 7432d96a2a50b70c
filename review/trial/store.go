// Command trial plays the scripted cases of the review. It starts the daemon's processes and
// holds the stand-ins for the platform's store, the replicas and the clients.
package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is one record of a keyed topic; a nil value drops the key.
type record struct {
	key   string
	value []byte
	at    time.Time
}

// Store is a stand-in for the platform's metadata store, as far as the daemon uses it.
type Store struct {
	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	era     int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: make(map[string][]record), changed: make(chan struct{}), era: 1}
}

// Put appends a record, as the operator or a replica does.
func (s *Store) Put(topic, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(topic, key, value)
}

func (s *Store) put(topic, key string, value []byte) int64 {
	s.topics[topic] = append(s.topics[topic], record{key, value, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
	return int64(len(s.topics[topic]))
}

// PutJSON appends a value as JSON.
func (s *Store) PutJSON(topic, key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.Put(topic, key, data)
}

// Newest returns the newest value of a key.
func (s *Store) Newest(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range slices.Backward(s.topics[topic]) {
		if r.key == key {
			return r.value
		}
	}
	return nil
}

// Gate is one machine's way to the store.
type Gate struct {
	store *Store
	Addr  string

	mu     sync.Mutex
	closed string // "" or how calls are turned away: busy, silent
	late   func(topic, key string, value []byte) time.Duration
}

// Open listens on an address and serves the store there.
func (s *Store) Open(ip string) *Gate {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		panic(err)
	}
	g := &Gate{store: s, Addr: l.Addr().String()}
	go func() { _ = (&http.Server{Handler: g}).Serve(l) }()
	return g
}

// Close turns calls away: busy answers 503, silent never answers; empty serves again.
func (g *Gate) Close(how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = how
}

func (g *Gate) how() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// ServeHTTP serves a call of one machine.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch g.how() {
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "silent":
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(2 * time.Millisecond)
	q := r.URL.Query()
	topic := q.Get("topic")
	switch r.URL.Path {
	case "/-/log-append":
		g.append(w, topic, q.Get("at"), body)
	case "/-/log-newest":
		g.newest(w, topic, q.Get("after"))
	case "/-/log-read":
		g.read(w, r, topic, q.Get("from"), q.Get("waitMs"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (g *Gate) append(w http.ResponseWriter, topic, at string, body []byte) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s := g.store
	s.mu.Lock()
	defer s.mu.Unlock()
	first := int64(len(s.topics[topic]))
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	if at != "" && at != strconv.FormatInt(first, 10) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"end": first})
		return
	}
	for len(body) > 4 {
		n := int(binary.BigEndian.Uint32(body))
		data := body[4 : 4+n]
		body = body[4+n:]
		k := int(data[0])
		value := slices.Clone(data[1+k:])
		if len(value) == 0 {
			value = nil
		}
		s.put(topic, string(data[1:1+k]), value)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": first, "end": len(s.topics[topic])})
}

func (g *Gate) newest(w http.ResponseWriter, topic, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s := g.store
	s.mu.Lock()
	defer s.mu.Unlock()
	last := make(map[string]int)
	for i, r := range s.topics[topic] {
		last[r.key] = i
	}
	items := []item{}
	for key, i := range last {
		if r := s.topics[topic][i]; r.value != nil && key > after {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(r.value), int64(i)})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > 500
	items = items[:min(len(items), 500)]
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": more, "end": len(s.topics[topic])})
}

func (g *Gate) read(w http.ResponseWriter, r *http.Request, topic, from, waitMs string) {
	start, _ := strconv.ParseInt(from, 10, 64)
	ms, _ := strconv.Atoi(waitMs)
	s := g.store
	timeout := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for waiting := ms > 0; ; {
		s.mu.Lock()
		all, changed, era := s.topics[topic], s.changed, s.era
		s.mu.Unlock()
		if start < int64(len(all)) || !waiting {
			w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
			if start > int64(len(all)) {
				w.WriteHeader(http.StatusGone)
				_ = json.NewEncoder(w).Encode(map[string]any{"first": 0})
				return
			}
			var out []byte
			out = binary.BigEndian.AppendUint64(out, uint64(len(all)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range all[start:] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(out, byte(len(rec.key)))
				out = append(out, rec.key...)
				out = append(out, rec.value...)
			}
			if how := g.how(); how == "silent" {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
