package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Conn is a client's connection to a host.
type Conn struct {
	net.Conn
	in *bufio.Reader
	// Closing says that the host has announced that it closes the connection.
	Closing bool
}

// Connect opens a connection within a second.
func Connect(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, in: bufio.NewReader(c)}, nil
}

// Event is an event of a stream.
type Event struct {
	ID               int
	Version, Replica string
}

// Answer is what a client gets for one attempt.
type Answer struct {
	Status     int
	RetryAfter time.Duration
	Stamp      string
	Body       string
	Events     []Event
	Complete   bool
	Err        error
}

func (a Answer) String() string {
	return fmt.Sprintf("status %d, stamp %q, %d events, complete %t, error %v", a.Status, a.Stamp, len(a.Events), a.Complete, a.Err)
}

// Stream asks for a stream of events after last, which the attempt resumes brought.
func (c *Conn) Stream(id string, events, last int, resumes string, deadline time.Duration) Answer {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /chat/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: %s\r\nX-Model: m1\r\nX-Token-Count: 10,%d\r\n", id, events)
	fmt.Fprintf(&b, "X-Prompt-Prefix: aa01:5,%s:5\r\nX-Deadline-Ms: %d\r\nContent-Length: 2\r\n", id, deadline.Milliseconds())
	if last > 0 {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\n", last)
	}
	if resumes != "" {
		fmt.Fprintf(&b, "Resumes: %s\r\n", resumes)
	}
	b.WriteString("\r\nhi")
	return c.exchange(b.String(), deadline)
}

// Book sends a request that may run at most once.
func (c *Conn) Book(id string, deadline time.Duration) Answer {
	return c.exchange(fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\nhi",
		id, deadline.Milliseconds()), deadline)
}

func (c *Conn) exchange(request string, deadline time.Duration) (a Answer) {
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err := io.WriteString(c, request); err != nil {
		a.Err = err
		return a
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	c.Closing = resp.Close
	a.Status, a.Stamp = resp.StatusCode, resp.Header.Get("X-Server-Stamp")
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		body, err := io.ReadAll(resp.Body)
		a.Body, a.Complete, a.Err = string(body), err == nil, err
		return a
	}
	in := bufio.NewReader(resp.Body)
	var e Event
	for {
		line, err := in.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			a.Complete = true
			return a
		}
		if err != nil {
			a.Err = err
			return a
		}
		line = strings.TrimSpace(line)
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			e.ID, _ = strconv.Atoi(v)
		}
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			e.Version, e.Replica, _ = strings.Cut(v, " ")
		}
		if line == "" {
			a.Events = append(a.Events, e)
		}
	}
}

// Resolve asks a host where to connect.
func (h *Host) Resolve() ([]string, error) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.Directory + "/-/resolve?name=app.example&region=r&zone=" + h.Zone)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var list struct {
		Addrs []string `json:"addrs"`
	}
	err = json.NewDecoder(resp.Body).Decode(&list)
	return list.Addrs, err
}
