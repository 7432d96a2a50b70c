package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRecord is a record of a keyed topic; one without a value drops its key.
type storeRecord struct {
	key   string
	value []byte
}

// store is a stand-in of the platform's metadata store, as far as the daemon uses it: keyed
// topics of one partition, which keep all records.
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
	s.add(topic, key, value)
}

// add appends a record. s.mu is held.
func (s *store) add(topic, key string, value []byte) {
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
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

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) append(w http.ResponseWriter, topic, at string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(first) {
		answer(w, http.StatusPreconditionFailed, map[string]any{"end": first})
		return
	}
	for len(body) > 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > len(body)-4 || 1+int(body[4]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		rec := body[4 : 4+n]
		body = body[4+n:]
		k := 1 + int(rec[0])
		s.add(topic, string(rec[1:k]), append([]byte(nil), rec[k:]...))
	}
	answer(w, http.StatusOK, map[string]any{"offset": first, "end": len(s.topics[topic])})
}

func (s *store) newest(w http.ResponseWriter, topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := make(map[string]int)
	for i, rec := range s.topics[topic] {
		last[rec.key] = i
	}
	keys := make([]string, 0, len(last))
	for key := range last {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, key := range keys {
		i := last[key]
		if value := s.topics[topic][i].value; len(value) > 0 {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": i})
		}
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "end": len(s.topics[topic])})
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
				out = append(out, byte(len(rec.key)))
				out = append(out, rec.key...)
				out = append(out, rec.value...)
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
