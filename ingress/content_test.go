package ingress

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// TestContentID guards against attempts of one request that are not recognised, and
// against different requests taken for the same.
func TestContentID(t *testing.T) {
	type request struct{ service, method, target, body, id, credentials, model, adapter string }
	id := func(r request) tamarackknot.ContentID {
		return (&exchange{
			service: r.service, r: httptest.NewRequest(r.method, "http://a"+r.target, strings.NewReader(r.body)), body: requestBody{blocks: [][]byte{[]byte(r.body)}, size: len(r.body)},
			caller: tamarackknot.CallerRequest{ID: r.id, Credentials: r.credentials, Model: r.model, Adapter: r.adapter},
		}).contentID()
	}
	base := request{"s", "POST", "/p/x", "body", "1", "k", "m", "a"}
	for name, tt := range map[string]struct {
		request request
		same    bool
	}{
		"another attempt":             {request{"s", "POST", "/p/x", "body", "2", "k", "m", "a"}, true},
		"another service":             {request{"t", "POST", "/p/x", "body", "1", "k", "m", "a"}, false},
		"another method":              {request{"s", "PUT", "/p/x", "body", "1", "k", "m", "a"}, false},
		"another path":                {request{"s", "POST", "/p/y", "body", "1", "k", "m", "a"}, false},
		"another query":               {request{"s", "POST", "/p/x?q", "body", "1", "k", "m", "a"}, false},
		"another body":                {request{"s", "POST", "/p/x", "body2", "1", "k", "m", "a"}, false},
		"another caller":              {request{"s", "POST", "/p/x", "body", "1", "l", "m", "a"}, false},
		"another model":               {request{"s", "POST", "/p/x", "body", "1", "k", "n", "a"}, false},
		"another adapter":             {request{"s", "POST", "/p/x", "body", "1", "k", "m", "b"}, false},
		"text moved to another field": {request{"s", "POST", "/p/x", "body", "1", "k", "ma", ""}, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.same, id(base) == id(tt.request))
		})
	}
}
