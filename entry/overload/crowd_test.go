package overload

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	callerHost = "app.example"
	bodyLimit  = 4 << 20
	blockBytes = 64 << 10
	// reopenDelay is the pause of a caller whose connection was closed.
	reopenDelay = 20 * time.Millisecond
	dripDelay   = 100 * time.Millisecond
)

// way is what a hostile caller does with a connection until it is closed. Writes fail once it is.
type way func(c net.Conn) error

// crowd runs callers until ctx ends: each takes one of the ways in turn, against an address.
type crowd struct {
	running sync.WaitGroup
}

func (c *crowd) start(ctx context.Context, address string, callers int, w way) {
	for range callers {
		c.running.Go(func() { runCaller(ctx, address, w) })
	}
}

// runCaller opens connections one after the other until ctx ends.
func runCaller(ctx context.Context, address string, w way) {
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			_ = w(conn)
			stop()
			_ = conn.Close()
		}
		time.Sleep(reopenDelay)
	}
}

// sends returns a way that sends the texts and then reads until the connection is closed.
func sends(texts ...string) way {
	return func(c net.Conn) error {
		for _, text := range texts {
			if _, err := io.WriteString(c, text); err != nil {
				return err
			}
		}
		_, err := io.Copy(io.Discard, c)
		return err
	}
}

// repeats returns a way that sends a text and then another one without end; it reads nothing.
func repeats(first, text string) way {
	text = strings.Repeat(text, max(1, 4096/len(text)))
	return func(c net.Conn) error {
		_, err := io.WriteString(c, first)
		for err == nil {
			_, err = io.WriteString(c, text)
		}
		return err
	}
}

// drips returns a way that sends a text at once and then a byte now and then.
func drips(first, text string) way {
	return func(c net.Conn) error {
		_, err := io.WriteString(c, first)
		for err == nil {
			time.Sleep(dripDelay)
			_, err = io.WriteString(c, text)
		}
		return err
	}
}

// readsSlowly returns a way that sends a request and reads a byte of the answer now and then.
func readsSlowly(request string) way {
	return func(c net.Conn) error {
		_, err := io.WriteString(c, request)
		for one := make([]byte, 1); err == nil; time.Sleep(dripDelay) {
			_, err = c.Read(one)
		}
		return err
	}
}

// leaves sends a part of a request and closes the connection at once.
func leaves(c net.Conn) error {
	_, err := io.WriteString(c, get("/once/x")[:20])
	return err
}

// waitsToContinue sends a head with the announced length of a body, and all but a byte of one
// within the limit if it is asked to go on.
func waitsToContinue(length int) way {
	return func(c net.Conn) error {
		if _, err := io.WriteString(c, post("Content-Length: ", fmt.Sprint(length), "\r\nExpect: 100-continue")); err != nil {
			return err
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		return sends(strings.Repeat("x", bodyLimit-1))(c)
	}
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: " + callerHost + "\r\nX-Request-Id: hostile\r\n\r\n"
}

// post returns the head of a request with a body.
func post(header ...string) string {
	return "POST /once/x HTTP/1.1\r\nHost: " + callerHost + "\r\nX-Request-Id: hostile\r\n" + strings.Join(header, "") + "\r\n\r\n"
}

func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

// frame returns a message to the port of the other hosts, of which some bytes are missing.
func frame(text string, missing int) string {
	return string(binary.AppendUvarint(nil, uint64(len(text)))) + text[:len(text)-missing]
}

// callerWays returns what callers do at the callers' address.
func callerWays() map[string]way {
	head := "GET /once/x HTTP/1.1\r\nHost: " + callerHost + "\r\n"
	chunked := post("Transfer-Encoding: chunked")
	block := strings.Repeat("x", blockBytes)
	largeChunks := strings.Repeat(chunk(blockBytes), bodyLimit/blockBytes-1) + chunk(blockBytes)[:blockBytes/2]
	body := strings.Repeat("x", bodyLimit-1)
	return map[string]way{
		"large chunks, short of the end":            sends(chunked, largeChunks),
		"one-byte chunks, short of the end":         sends(chunked, strings.Repeat(chunk(1), 1<<18)),
		"chunk extension without end":               repeats(chunked+"1;", "e"),
		"chunk extensions without end":              repeats(chunked, "1;"+strings.Repeat("e", 1000)+"\r\nx\r\n"),
		"trailers without end":                      repeats(chunked+"0\r\n", "A: b\r\n"),
		"body of known length, short of the end":    sends(post("Content-Length: ", fmt.Sprint(bodyLimit)), body),
		"body over the limit, announced":            repeats(post("Content-Length: 1000000000"), block),
		"body over the limit, in chunks":            repeats(chunked, chunk(blockBytes)),
		"body over the limit, waits to continue":    waitsToContinue(1e9),
		"body within the limit, waits to continue":  waitsToContinue(bodyLimit),
		"body that drips":                           drips(post("Content-Length: ", fmt.Sprint(bodyLimit))+strings.Repeat("x", bodyLimit/2), "x"),
		"head over the limit, no end":               sends(head + strings.Repeat("A: "+strings.Repeat("b", 1000)+"\r\n", 60)),
		"head without end":                          repeats(head, "A: "+strings.Repeat("b", 1000)+"\r\n"),
		"header line without end":                   repeats(head+"A: ", "b"),
		"short header lines without end":            repeats(head, "a:b\r\n"),
		"empty lines without end":                   repeats("", "\r\n"),
		"request line without end":                  repeats("GET /", "a"),
		"silent":                                    sends(),
		"head that drips":                           drips(head, "A"),
		"pipelined, answers not read":               repeats("", get("/once/x")),
		"pipelined, large answers not read":         repeats("", get("/once/big")),
		"streams read slowly":                       readsSlowly(get("/stream/x")),
		"streams not read":                          repeats(get("/stream/x"), get("/stream/x")),
		"large answers read slowly":                 readsSlowly(get("/once/big")),
		"connections opened and closed without end": leaves,
	}
}

// directoryWays returns what callers do at the addresses for the address question, readiness
// and metrics.
func directoryWays() map[string]way {
	path := "/-/resolve?zone=z-a"
	return map[string]way{
		"silent":                      sends(),
		"header line without end":     repeats("GET "+path+" HTTP/1.1\r\nHost: x\r\nA: ", "b"),
		"body, short of the end":      sends("POST "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 250000\r\n\r\n", strings.Repeat("x", 200_000)),
		"pipelined, answers not read": repeats("", "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n"),
		"opened and closed":           leaves,
	}
}

// peerWays returns what callers do at the address for other hosts.
func peerWays() map[string]way {
	hello := frame(`{"jsonrpc":"2.0","id":1,"method":"hello","params":{"host":"edge-2","incarnation":"i","to":"edge-1"}}`, 0)
	message := `{"jsonrpc":"2.0","method":"x","params":"` + strings.Repeat("x", bodyLimit-1000) + `"}`
	return map[string]way{
		"silent":                         sends(),
		"message, short of the end":      sends(frame(message, 1)),
		"message of a host, no end":      sends(hello, frame(message, 1)),
		"messages of a host without end": repeats(hello, frame(message, 0)),
	}
}
