package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"

	"tamarackknot.example/tamarackknot"
	operatorv1 "tamarackknot.example/tamarackknot/gen/operator/v1"
	"tamarackknot.example/tamarackknot/gen/operator/v1/operatorv1connect"
	"tamarackknot.example/tamarackknot/ledger"
)

// memoryJournal applies each proposal directly to a ledger.
type memoryJournal struct {
	tamarackknot.Journal
	mu      sync.Mutex
	ledger  *ledger.Ledger
	changed chan struct{} // always closed
	unready atomic.Bool
}

func (j *memoryJournal) Propose(_ context.Context, c tamarackknot.Change) (tamarackknot.Outcome, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	next := j.ledger.Applied() + 1
	data, err := json.Marshal(tamarackknot.Record{ID: fmt.Sprint(next), Host: "a", Incarnation: "1", Time: time.Unix(1.7e9, 0), Change: c})
	_, out := j.ledger.Apply(next, data)
	return out, err
}

func (j *memoryJournal) Read(fn func(tamarackknot.State)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fn(j.ledger)
}

func (j *memoryJournal) Changed() <-chan struct{} { return j.changed }

func (j *memoryJournal) Status() tamarackknot.JournalStatus {
	return tamarackknot.JournalStatus{Ready: !j.unready.Load(), ConfigOffset: 4}
}

// hostList has one host that is up to date, one that is behind and one that is
// dead.
type hostList struct{ tamarackknot.Members }

func (hostList) List() []tamarackknot.Member {
	return []tamarackknot.Member{
		{Host: tamarackknot.Host{Name: "entry-1"}, Status: tamarackknot.MemberAlive, ConfigOffset: 100},
		{Host: tamarackknot.Host{Name: "entry-2"}, Status: tamarackknot.MemberAlive, ConfigOffset: 2},
		{Host: tamarackknot.Host{Name: "entry-3"}, Status: tamarackknot.MemberDead},
	}
}

type noReports struct{ tamarackknot.Reports }

func (noReports) Report(string) (r tamarackknot.Report, _ bool) { return r, false }
func (noReports) Unreachable(string) bool                       { return false }

// Guards against changes of the JSON that operators' scripts send and read:
// field names, HTTP status, error codes and messages, and the events of a watch.
func TestSession(t *testing.T) {
	j := &memoryJournal{ledger: ledger.New(ledger.Config{}), changed: make(chan struct{})}
	close(j.changed)
	srv := httptest.NewServer(New(Config{Journal: j, Members: hostList{}, Reports: noReports{}, Log: log.New(io.Discard)}).Handler())
	t.Cleanup(srv.Close) // after t.Context has ended the watch
	var transcript bytes.Buffer
	record := func(title string, data []byte) {
		transcript.WriteString(title)
		require.NoError(t, json.Indent(&transcript, data, "", " "), string(data))
		transcript.WriteString("\n\n")
	}
	post := func(method, body string) {
		resp, err := http.Post(srv.URL+"/operator.v1.ResourceService/"+method, "application/json", strings.NewReader(body))
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		record(fmt.Sprintf("%s %s\n%d ", method, body, resp.StatusCode), data)
	}
	const model = `{"resource":{"kind":"model","metadata":{"name":"flow","revision":%d},"model":{"deployment":"periyar","version":"1","memoryMB":"100","maxReplicas":%d}}}`
	post("Apply", `{"resource":{"kind":"deployment","metadata":{"name":"periyar"},"deployment":{"priority":3,"coldStartWeight":0.5,"loadsPerSecond":1,"loadsAtOnce":2}}}`)
	post("Apply", fmt.Sprintf(model, 0, 2))
	post("Apply", fmt.Sprintf(model, 2, 2)) // unchanged
	post("Apply", fmt.Sprintf(model, 1, 3)) // conflict
	post("Apply", fmt.Sprintf(model, 2, -1))
	post("Apply", `{"resource":{"kind":"endpoint","metadata":{"name":"e1"},"endpoint":{"deployment":"periyar","address":"127.0.0.1:9","failureDomain":"kochi-1","memoryMB":"1000","slots":4}}}`)
	post("Get", `{"kind":"endpoint","name":"e1"}`)
	post("Get", `{"kind":"model","name":"none"}`)
	post("List", `{"kind":"model","deployment":"periyar"}`)
	post("List", `{"deployment":"other"}`)
	post("Delete", `{"kind":"deployment","name":"periyar","revision":"1"}`)
	post("Status", `{}`)

	stream, err := operatorv1connect.NewResourceServiceClient(srv.Client(), srv.URL, connect.WithProtoJSON()).
		Watch(t.Context(), connect.NewRequest(&operatorv1.WatchRequest{Kind: "model"}))
	require.NoError(t, err)
	event := func() {
		require.True(t, stream.Receive(), stream.Err())
		data, err := protojson.Marshal(stream.Msg())
		require.NoError(t, err)
		record("event ", data)
	}
	event()
	post("Apply", fmt.Sprintf(model, 2, 3))
	event()
	post("Delete", `{"kind":"model","name":"flow","revision":"6"}`)
	event()

	// A host with an incomplete state must not report a resource as missing.
	j.unready.Store(true)
	post("Delete", `{"kind":"deployment","name":"none","revision":"1"}`)
	goldie.New(t).Assert(t, "session", transcript.Bytes())
}
