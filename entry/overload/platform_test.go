package overload

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// storeRecord is a record of a keyed topic; one without a value drops its key.
type storeRecord struct {
	key   string
	value []byte
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
}

func newStore() *store {
	return &store{topics: make(map[string][]storeRecord), changed: make(chan struct{})}
}

func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(topic, key, value)
}

func (s *store) putLocked(topic, key string, value []byte) {
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) putJSON(t *testing.T, topic, key string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	require.NoError(t, err)
	s.put(topic, key, data)
}

// ServeHTTP serves the calls that package platform makes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Store-Era", "1")
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, q.Get("topic"), q.Get("at"), body)
	case "/-/log-newest":
		s.newest(w, q.Get("topic"))
	case "/-/log-read":
		s.read(w, r, q.Get("topic"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, topic, at string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(first) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	for len(body) > 4 {
		n := int(binary.BigEndian.Uint32(body))
		rec := body[4 : 4+n]
		body = body[4+n:]
		k := 1 + int(rec[0])
		s.putLocked(topic, string(rec[1:k]), slices.Clone(rec[k:]))
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": first})
}

func (s *store) newest(w http.ResponseWriter, topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := make(map[string]int)
	for i, rec := range s.topics[topic] {
		last[rec.key] = i
	}
	items := []map[string]any{}
	for key, i := range last {
		if value := s.topics[topic][i].value; len(value) > 0 {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": i})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "end": len(s.topics[topic])})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for waiting := ms > 0; ; {
		s.mu.Lock()
		all, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from < len(all) || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range all[min(from, len(all)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(append(append(out, byte(len(rec.key))), rec.key...), rec.value...)
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

const (
	endpointSlots = 32
	// bigBytes is an answer that no buffer of a socket holds, eventBytes an event of a stream.
	bigBytes   = 2 << 20
	eventBytes = 1 << 10
	maxEvents  = 20_000
)

// startEndpoint starts a stand-in of an endpoint of the service "desk".
func startEndpoint(t *testing.T, s *store, id string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", id)
		switch {
		case strings.HasPrefix(r.URL.Path, "/stream/"):
			w.Header().Set("Content-Type", "text/event-stream")
			event := strings.Repeat("x", eventBytes)
			for i := range maxEvents {
				if _, err := io.WriteString(w, "id: "+strconv.Itoa(i+1)+"\ndata: "+event+"\n\n"); err != nil {
					return
				}
			}
		case strings.HasSuffix(r.URL.Path, "/big"):
			_, _ = w.Write(make([]byte, bigBytes))
		default:
			_, _ = io.WriteString(w, "answer")
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	s.putJSON(t, "keyed.servers", id, map[string]any{
		"svc": "desk", "addr": server.Listener.Addr().String(), "zone": "z-a", "version": "1", "slots": endpointSlots, "state": "ready",
		"born": time.Now().UnixMilli(),
	})
}

func putConfig(t *testing.T, s *store) {
	t.Helper()
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": callerHost, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 20_000, "sloMs": 1000, "gapAimMs": 300,
			"svc": "desk", "attempts": 1,
		}
	}
	s.putJSON(t, "keyed.op", "config", map[string]any{
		"version": 1, "routes": []any{route("once", "non_idempotent"), route("stream", "streaming")},
		"services": []any{map[string]any{"name": "desk"}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": bodyLimit, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
