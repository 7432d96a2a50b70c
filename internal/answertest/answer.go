// Package answertest holds answers of servers in trouble, for the tests of clients.
package answertest

import (
	"fmt"
	"io"
	"net/http"
)

// Answer is an answer of a server.
type Answer struct {
	Status string // for instance "200 OK"
	Fields string // of the head, each with the end of its line
	Body   string
}

func (a Answer) text(status, fields string) string {
	return "HTTP/1.1 " + status + "\r\n" + a.Fields + fields + "\r\n" + a.Body
}

func (a Answer) length() string { return fmt.Sprintf("Content-Length: %d\r\n", len(a.Body)) }

// Whole returns the answer as a sound server sends it.
func (a Answer) Whole() string { return a.text(a.Status, a.length()) }

// Broken returns bytes that begin like the answer and are none in HTTP, by what is wrong.
func (a Answer) Broken() map[string]string { return a.badStatuses() }

// badStatuses returns the answer with statuses that no answer has, by name.
func (a Answer) badStatuses() map[string]string {
	all := make(map[string]string)
	for _, status := range []string{"000 OK", "000", "001 OK", "099 OK", "+20 OK", "600 X", "999 X"} {
		all["status "+status] = a.text(status, a.length())
	}
	return all
}

// Handler returns a handler that reads the request, sends text as it is and closes the
// connection.
func Handler(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = buf.WriteString(text)
		_ = buf.Flush()
		_ = conn.Close()
	}
}
