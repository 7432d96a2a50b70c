package ingress

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// TestOtherAnswerInStream guards against bytes that are no events of a stream, or a clean end,
// in the middle of it: the endpoint that began it broke off, and the next one answered
// something else.
func TestOtherAnswerInStream(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: id-1\r\nSigned: b\r\n"
	chunked := func(body string) http.HandlerFunc { return respond(http.StatusOK, body) }
	rest := event(2) + event(3)
	for name, tc := range map[string]struct {
		next     http.HandlerFunc
		complete bool
	}{
		"the rest of the stream":               {chunked(rest), true},
		"the rest, ends with its connection":   {rawResponse(head + "\r\n" + rest), true},
		"there was no more to send":            {chunked(""), true},
		"a failure":                            {respond(http.StatusInternalServerError, "it failed"), false},
		"a failure that looks like an event":   {respond(http.StatusInternalServerError, "id: 2\ndata: x\n\n"), false},
		"a refusal without its mark":           {respond(http.StatusServiceUnavailable, "full"), false},
		"a redirect":                           {respond(http.StatusFound, ""), false},
		"the text of an error as a success":    {chunked("it failed\n\n"), false},
		"an error in JSON as a success":        {chunked("{\"error\": 1}\n\n"), false},
		"a head in a body":                     {chunked("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"), false},
		"an event that came before":            {chunked(event(1) + rest), false},
		"the stream from its beginning":        {chunked(allEvents(4)), false},
		"an event without an id":               {chunked("data: x\n\n"), false},
		"nothing, and the connection is ended": {rawResponse(head + "\r\n"), false},
		"a part of an event":                   {rawResponse(head + "\r\nid: 2\nda"), false},
		"no answer":                            {rawResponse(""), false},
		"bytes that are no answer":             {rawResponse("it failed\r\n\r\n"), false},
		"a head that breaks off":               {rawResponse(head), false},
	} {
		t.Run(name, func(t *testing.T) {
			cut := events(4, func(i int, _ http.ResponseWriter) {
				if i == 2 {
					panic(http.ErrAbortHandler)
				}
			})
			h := newHarness(t, tamarackknot.Route{Kind: stream, Resumable: true, Attempts: 2}, cut, tc.next)
			go h.dispatcher.Run(t.Context())
			_, body, err := h.do(call{})
			require.Equal(t, []string{"a", "b"}, h.reached())
			if !tc.complete {
				require.Error(t, err, "the stream must not look complete")
				require.Equal(t, allEvents(2), body)
				return
			}
			require.NoError(t, err)
			require.Contains(t, []string{allEvents(2), allEvents(4)}, body)
		})
	}
}

// TestLongLineOfEvent guards against a line that is longer than the read buffer and taken for
// several, so that its end looks like that of the event, or its middle like an id.
func TestLongLineOfEvent(t *testing.T) {
	for name, line := range map[string]string{
		"the line ends with the buffer":    "data: " + strings.Repeat("x", eventBufferBytes-len("data: ")) + "\n",
		"a field at the start of a buffer": "data: " + strings.Repeat("x", eventBufferBytes-len("data: ")) + "id: 9\n",
	} {
		t.Run(name, func(t *testing.T) {
			want := line + "id: 3\n\n"
			in := bufio.NewReaderSize(strings.NewReader(want), eventBufferBytes)
			space := reservation{space: newBufferSpace()}
			event, id, err := readEvent(in, nil, "2", &space)
			require.NoError(t, err)
			require.Equal(t, want, string(event))
			require.Equal(t, "3", id)
			_, _, err = readEvent(in, nil, id, &space)
			require.ErrorIs(t, err, io.EOF)
		})
	}
}
