package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

const (
	maxRecordBytes = 16 << 20
	maxReadLimit   = 10_000
	maxReadWait    = time.Minute
)

// Platform is an HTTP server for a log and a host list:
//
//	POST   /log/append                        body: record; response: offset
//	GET    /log/read?from=&limit=&waitMillis= records, first and next
//	GET    /hosts                             the host list, delayed by its lag
//	PUT    /hosts/<name>                      adds or replaces a host
//	DELETE /hosts/<name>                      removes a host
type Platform struct {
	log   tamarackknot.Log
	hosts *HostList
	mux   *http.ServeMux
}

type appendResponse struct {
	Offset tamarackknot.Offset `json:"offset"`
}

type readResponse struct {
	Records []recordResponse    `json:"records"`
	First   tamarackknot.Offset `json:"first"`
	Next    tamarackknot.Offset `json:"next"`
}

type recordResponse struct {
	Offset tamarackknot.Offset `json:"offset"`
	Data   []byte              `json:"data"`
}

type hostsResponse struct {
	Hosts []tamarackknot.Host `json:"hosts"`
}

// NewPlatform returns a Platform that serves a log and a host list.
func NewPlatform(log tamarackknot.Log, hosts *HostList) *Platform {
	p := &Platform{log: log, hosts: hosts, mux: http.NewServeMux()}
	p.mux.HandleFunc("POST /log/append", p.serveAppend)
	p.mux.HandleFunc("GET /log/read", p.serveRead)
	p.mux.HandleFunc("GET /hosts", p.serveHosts)
	p.mux.HandleFunc("PUT /hosts/{name}", p.servePutHost)
	p.mux.HandleFunc("DELETE /hosts/{name}", p.serveDeleteHost)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", fmt.Sprintf("body is not a record of up to %d bytes: %v", maxRecordBytes, err))
		return
	}
	offset, err := p.log.Append(r.Context(), data)
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, appendResponse{Offset: offset})
	case errors.Is(err, ErrLogAnswerLost):
		abort()
	default:
		writeError(w, http.StatusServiceUnavailable, "log_unavailable", err.Error())
	}
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := queryInt(r, "from", 1, 1, 1<<62)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_query", err.Error())
		return
	}
	limit, err := queryInt(r, "limit", 1000, 1, maxReadLimit)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_query", err.Error())
		return
	}
	wait, err := queryInt(r, "waitMillis", 0, 0, maxReadWait.Milliseconds())
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_query", err.Error())
		return
	}
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	page, err := p.log.Read(r.Context(), tamarackknot.Offset(from), int(limit), deadline)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "log_unavailable", err.Error())
		return
	}
	out := readResponse{First: page.First, Next: page.Next, Records: make([]recordResponse, 0, len(page.Records))}
	for _, rec := range page.Records {
		out.Records = append(out.Records, recordResponse{Offset: rec.Offset, Data: rec.Data})
	}
	writeJSON(w, http.StatusOK, out)
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := p.hosts.Hosts(r.Context())
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "host_list_unavailable", err.Error())
		return
	}
	if hosts == nil {
		hosts = []tamarackknot.Host{}
	}
	writeJSON(w, http.StatusOK, hostsResponse{Hosts: hosts})
}

func (p *Platform) servePutHost(w http.ResponseWriter, r *http.Request) {
	var h tamarackknot.Host
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&h); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", "body is not a host: "+err.Error())
		return
	}
	if err := checkHost(h, r.PathValue("name")); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_host", err.Error())
		return
	}
	h.Name = r.PathValue("name")
	p.hosts.Put(h)
	writeJSON(w, http.StatusOK, h)
}

func (p *Platform) serveDeleteHost(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if !p.hosts.Remove(name) {
		writeError(w, http.StatusNotFound, "host_not_found", fmt.Sprintf("host %q is not listed", name))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func checkHost(h tamarackknot.Host, name string) error {
	if h.Name != "" && h.Name != name {
		return fmt.Errorf("field name is %q: allowed is %q, as in the path", h.Name, name)
	}
	if h.Role != tamarackknot.RoleEntry && h.Role != tamarackknot.RoleEndpoint {
		return fmt.Errorf("field role is %q: allowed are entry and endpoint", h.Role)
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return fmt.Errorf("field address is %q: allowed is IP:port", h.Address)
	}
	if h.PeerAddress == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(h.PeerAddress); err != nil {
		return fmt.Errorf("field peerAddress is %q: allowed is IP:port or nothing", h.PeerAddress)
	}
	return nil
}

// queryInt parses a query parameter and checks its range.
func queryInt(r *http.Request, name string, defaultValue, minimum, maximum int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < minimum || n > maximum {
		return 0, fmt.Errorf("query parameter %s is %q: allowed is %d to %d", name, text, minimum, maximum)
	}
	return n, nil
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorResponse{Error: errorBody{Message: message, Type: "platform_error", Code: code}})
}
