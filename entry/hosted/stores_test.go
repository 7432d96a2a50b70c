package hosted

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// storeServer is a fake of the platform's store on loopback.
type storeServer struct {
	*httptest.Server
	mu      sync.Mutex
	records map[string][][]byte
	era     int
}

func newStoreServer(t *testing.T) *storeServer {
	t.Helper()
	p := &storeServer{records: make(map[string][][]byte), era: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", p.append)
	mux.HandleFunc("GET /-/log-read", p.read)
	mux.HandleFunc("GET /-/log-newest", p.newest)
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		w.Header().Set("Store-Era", strconv.Itoa(p.era))
		p.mu.Unlock()
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(p.Close)
	return p
}

// copy returns the records of all topics.
func (p *storeServer) copy() map[string][][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string][][]byte)
	for topic, records := range p.records {
		out[topic] = slices.Clone(records)
	}
	return out
}

// restore replaces the records by a copy and ends the calls that wait for records.
func (p *storeServer) restore(older map[string][][]byte) {
	p.mu.Lock()
	p.records = older
	p.era++
	p.mu.Unlock()
	p.CloseClientConnections()
}

// put appends a record in the format of operators and endpoints.
func (p *storeServer) put(t *testing.T, topic, key string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	require.NoError(t, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records[topic] = append(p.records[topic], append(append([]byte{byte(len(key))}, key...), data...))
}

func (p *storeServer) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 4 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	topic := r.URL.Query().Get("topic")
	p.mu.Lock()
	defer p.mu.Unlock()
	offset := len(p.records[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(offset) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	p.records[topic] = append(p.records[topic], body[4:])
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, offset+1)
}

func (p *storeServer) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(5 * time.Millisecond) {
		p.mu.Lock()
		all := p.records[q.Get("topic")]
		p.mu.Unlock()
		if len(all) < from {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(all) <= from && time.Now().Before(end) && r.Context().Err() == nil {
			continue
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, rec := range all[min(from, len(all)):] {
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(rec))), rec...)
		}
		_, _ = w.Write(out)
		return
	}
}

func (p *storeServer) newest(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.records[r.URL.Query().Get("topic")]
	newest := make(map[string]map[string]any)
	for i, rec := range all {
		n := int(rec[0])
		key, value := string(rec[1:1+n]), rec[1+n:]
		newest[key] = map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": i}
		if len(value) == 0 {
			delete(newest, key)
		}
	}
	items := make([]map[string]any, 0, len(newest))
	for _, it := range newest {
		items = append(items, it)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "end": len(all)})
}

// engine is a fake model engine on loopback.
type engine struct {
	*httptest.Server
	id     string
	mu     sync.Mutex
	held   []string
	seq    int
	fences []int64
	owners map[string]bool
}

func newEngine(t *testing.T, id string, held ...string) *engine {
	t.Helper()
	e := &engine{id: id, held: held, owners: make(map[string]bool)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", e.report)
	mux.HandleFunc("POST /-/order", e.order)
	mux.HandleFunc("/", e.serve)
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

func (e *engine) state() map[string]any {
	models := make([]map[string]any, 0, len(e.held))
	for _, m := range e.held {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return map[string]any{
		"phase": "colocated", "models": models, "busy": false, "seq": e.seq, "born": 1_770_000_000_000,
		"resident": map[string]any{"inMemory": []string{"cold"}, "onDisk": []string{"warm", "cold"}},
	}
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(e.state())
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Opcode, Model, Owner string
		Precondition         int
		Fence                int64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Precondition != e.seq {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.seq++
	e.fences = append(e.fences, o.Fence)
	e.owners[o.Owner] = true
	if o.Opcode == "load" {
		e.held = append(e.held, o.Model)
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	held := false
	for _, m := range e.held {
		held = held || m == r.Header.Get("X-Model")
	}
	e.mu.Unlock()
	if !held || r.Header.Get("X-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Stamp", "stamp")
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range 3 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}
