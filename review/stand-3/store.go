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

// store is a stand-in for the platform's metadata store: a log with keyed topics, of one
// partition each.
type store struct {
	mu     sync.Mutex
	topics map[string][]entry
	// silent says that the store answers nothing. changed is closed at each append and each
	// change of silent.
	silent  bool
	changed chan struct{}
}

// entry is one record: what follows its length.
type entry []byte

// key returns the key and the value of an entry of a keyed topic.
func (e entry) key() (string, []byte) {
	n := int(e[0])
	return string(e[1 : 1+n]), e[1+n:]
}

func newStore() *store {
	return &store{topics: make(map[string][]entry), changed: make(chan struct{})}
}

// wakeAll wakes those who wait for a change. s.mu is held.
func (s *store) wakeAll() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.wakeAll()
}

// put writes a record as the operator or a replica does. It reports whether the store
// acknowledged it.
func (s *store) put(topic, key string, value any) bool {
	data := []byte(nil)
	if value != nil {
		var err error
		if data, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return false
	}
	s.topics[topic] = append(s.topics[topic], append(append([]byte{byte(len(key))}, key...), data...))
	s.wakeAll()
	return true
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if !s.awake() {
		s.hang(w, r)
		return
	}
	w.Header().Set("Store-Era", "0")
	switch r.URL.Path {
	case "/-/log-append":
		s.serveAppend(w, r, body)
	case "/-/log-read":
		s.serveRead(w, r)
	case "/-/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) awake() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.silent
}

// hang leaves a call without an answer.
func (s *store) hang(w http.ResponseWriter, r *http.Request) {
	for !s.awake() {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, body []byte) {
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var added []entry
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		added, body = append(added, body[4:4+n]), body[4+n:]
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	end := len(s.topics[topic])
	at := r.URL.Query().Get("at")
	ok := at == "" || at == strconv.Itoa(end)
	if ok {
		s.topics[topic] = append(s.topics[topic], added...)
		s.wakeAll()
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": end})
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end, "end": end + len(added)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(waitMs) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		records, changed, silent := s.topics[q.Get("topic")], s.changed, s.silent
		s.mu.Unlock()
		if silent {
			s.hang(w, r)
			return
		}
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(records) > from || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, e := range records[from:] {
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(e))), e...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	topic, after := r.URL.Query().Get("topic"), r.URL.Query().Get("after")
	type item struct {
		Key    string  `json:"key"`
		Value  *string `json:"value"`
		Offset int     `json:"offset"`
	}
	newest := make(map[string]item)
	s.mu.Lock()
	end := len(s.topics[topic])
	for i, e := range s.topics[topic] {
		key, value := e.key()
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		text := base64.StdEncoding.EncodeToString(value)
		newest[key] = item{key, &text, i}
	}
	s.mu.Unlock()
	items := []item{}
	for _, it := range newest {
		if it.Key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "end": end})
}

// listen serves a handler on an address until the returned function is called.
func listen(address string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	return server, nil
}
