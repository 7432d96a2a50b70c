package headcheck_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot/internal/headcheck"
)

// TestConnectionOfMalformedAnswer guards against a connection that is used again after a
// malformed answer, of which bytes may still be on it.
func TestConnectionOfMalformedAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"without a body": "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 0\r\n\r\n",
		"with a body":    "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 2\r\n\r\nok",
		"status":         "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, buf, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				_, _ = buf.WriteString(text)
				_ = buf.Flush()
				_, _ = io.Copy(io.Discard, conn)
				close(closed)
				_ = conn.Close()
			}))
			defer server.Close()
			transport := &headcheck.Transport{Transport: &http.Transport{}}
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
			require.NoError(t, err)
			resp, err := transport.RoundTrip(r)
			if err == nil {
				_ = resp.Body.Close()
			}
			require.ErrorIs(t, err, headcheck.ErrMalformed)
			<-closed
		})
	}
}
