// Package answertest holds malformed HTTP answers for the tests of clients.
package answertest

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
)

// Answer is a well-formed answer, from which malformed ones are made.
type Answer struct {
	Status string // for instance "200 OK"
	Fields string // of the head, each with the end of its line
	Body   string
}

func (a Answer) text(status, fields string) string {
	return "HTTP/1.1 " + status + "\r\n" + a.Fields + fields + "\r\n" + a.Body
}

func (a Answer) length() string { return fmt.Sprintf("Content-Length: %d\r\n", len(a.Body)) }

// Whole returns the answer itself.
func (a Answer) Whole() string { return a.text(a.Status, a.length()) }

// Broken returns malformed variants of the answer by what is wrong with them.
func (a Answer) Broken() map[string]string {
	all := a.badStatuses()
	maps.Copy(all, a.badNames())
	maps.Copy(all, a.cutHeads())
	return all
}

// badStatuses returns the answer with statuses outside 100 to 599.
func (a Answer) badStatuses() map[string]string {
	all := make(map[string]string)
	for _, status := range []string{"000 OK", "000", "001 OK", "099 OK", "+20 OK", "600 X", "999 X"} {
		all["status "+status] = a.text(status, a.length())
	}
	return all
}

// badNames returns the answer with a field whose name is no token.
func (a Answer) badNames() map[string]string {
	chunked := Answer{a.Status, a.Fields, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(a.Body), a.Body)}
	return map[string]string{
		"blank in a name":               a.text(a.Status, "A B: c\r\n"+a.length()),
		"blank after a name":            a.text(a.Status, "A : c\r\n"+a.length()),
		"blank after Content-Length":    a.text(a.Status, strings.Replace(a.length(), ":", " :", 1)),
		"blank after Transfer-Encoding": chunked.text(a.Status, "Transfer-Encoding : chunked\r\n"),
		"blank before the first name":   Answer{a.Status, "", a.Body}.text(a.Status, " A: c\r\n"+a.Fields+a.length()),
		"tab after a name":              a.text(a.Status, "A\t: c\r\n"+a.length()),
		"carriage return in a name":     a.text(a.Status, "A\rB: c\r\n"+a.length()),
		"control byte in a name":        a.text(a.Status, "A\x01B: c\r\n"+a.length()),
		"zero byte in a name":           a.text(a.Status, "A\x00: c\r\n"+a.length()),
		"delete byte in Content-Length": a.text(a.Status, strings.Replace(a.length(), "-", "\x7f", 1)),
	}
}

// cutHeads returns the answer up to different places in its head.
func (a Answer) cutHeads() map[string]string {
	whole := a.text(a.Status, "Zone: here\r\n"+a.length())
	cut := func(after string) string { return whole[:strings.Index(whole, after)+len(after)] }
	return map[string]string{
		"cut in the status":              cut("HTTP/1.1 ") + a.Status[:1],
		"cut after the status":           cut(a.Status),
		"cut after the status line":      cut(a.Status + "\r\n"),
		"cut in a name":                  cut("Zon"),
		"cut after a name":               cut("Zone:"),
		"cut in a value":                 cut("Zone: he"),
		"cut between fields":             cut("Zone: here\r\n"),
		"cut in Content-Length":          cut("Content-Length: ") + "1",
		"cut before the empty line":      strings.TrimSuffix(cut("\r\n\r\n"), "\r\n"),
		"cut in the empty line":          strings.TrimSuffix(cut("\r\n\r\n"), "\n"),
		"cut in an informational answer": "HTTP/1.1 103 Early Hints\r\nA: b\r\n",
	}
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
