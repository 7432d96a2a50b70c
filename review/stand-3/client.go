package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stream is a client's stream, over all its tries.
type stream struct {
	w     *world
	name  string
	until time.Time // its deadline

	mu       sync.Mutex
	first    string // the id of the try that brought the first event
	last     int    // the last event
	versions map[string]bool
	replicas map[string]bool
	conn     net.Conn
	done     bool // complete
	ended    bool // the client wants no more of it
}

func (w *world) newStream(name string) *stream {
	return &stream{w: w, name: name, until: time.Now().Add(deadline), versions: map[string]bool{}, replicas: map[string]bool{}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (s *stream) events() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// leave closes the connection of the try under way.
func (s *stream) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// end makes the client leave for good.
func (s *stream) end() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.leave()
}

// follow tries until the stream is complete: once more after it broke off, at another host.
func (s *stream) follow(n int) {
	for try := range 2 {
		_, after, _ := s.try(s.w.hosts[(n+try)%len(s.w.hosts)])
		s.mu.Lock()
		over := s.done || s.ended
		s.mu.Unlock()
		if over {
			return
		}
		time.Sleep(max(after, 100*time.Millisecond))
	}
}

// try sends the request once, with the last event if there was one, and reads the events until
// the end. It returns the status, 0 if there was no answer, and when to come back.
func (s *stream) try(h *host) (status int, after time.Duration, err error) {
	id := newID()
	s.mu.Lock()
	head := fmt.Sprintf("POST /advice/2f HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n",
		id, time.Until(s.until).Milliseconds(), len(s.name))
	if s.last > 0 {
		head += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", s.last, s.first)
	}
	last := s.last
	s.mu.Unlock()
	s.w.log("client %s sends %s to %s, last event %d", s.name, id, h.name, last)
	defer func() {
		s.w.log("client %s: %s ends with status %d, last event %d, complete %v, Retry-After %v, error %v", s.name, id, status, s.events(), s.done, after, err)
	}()
	conn, err := dial(h.front())
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	s.mu.Lock()
	s.conn = conn
	s.mu.Unlock()
	_ = conn.SetDeadline(s.until)
	if _, err := io.WriteString(conn, head+"\r\n"+s.name); err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, err
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return resp.StatusCode, time.Duration(seconds * float64(time.Second)), fmt.Errorf("%s", strings.TrimSpace(string(text)))
	}
	return http.StatusOK, 0, s.read(id, resp.Body)
}

// read reads events until the end of the answer.
func (s *stream) read(id string, body io.Reader) error {
	in := bufio.NewScanner(body)
	n := 0
	for in.Scan() {
		if text, ok := strings.CutPrefix(in.Text(), "id: "); ok {
			n, _ = strconv.Atoi(text)
			continue
		}
		text, ok := strings.CutPrefix(in.Text(), "data: ")
		if !ok {
			continue
		}
		version, replica, _ := strings.Cut(text, " ")
		s.mu.Lock()
		if s.first == "" {
			s.first = id
		}
		if !s.replicas[replica+" "+version] {
			s.w.log("client %s gets event %d from %s version %s", s.name, n, replica, version)
		}
		s.last, s.versions[version], s.replicas[replica+" "+version] = n, true, true
		s.mu.Unlock()
	}
	s.mu.Lock()
	s.done = in.Err() == nil
	s.mu.Unlock()
	return in.Err()
}
