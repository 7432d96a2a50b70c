package commands

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	operatorv1 "tamarackknot.example/tamarackknot/gen/operator/v1"
)

// serve starts a fake entry host, which stores nothing, and returns its address.
// It responds to every write with the error code answer, if any, and counts the
// writes.
func serve(t *testing.T, answer string, writes *int) string {
	t.Helper()
	r := &operatorv1.Resource{Kind: "deployment", Metadata: &operatorv1.Metadata{Name: "periyar"}, Status: &operatorv1.Status{}}
	if answer == "behind" {
		r.Status.Conditions = []*operatorv1.Condition{{Type: "InForce", Status: "False"}}
	}
	replies := map[string]proto.Message{
		"Apply":  &operatorv1.ApplyResponse{Resource: r, Changed: true},
		"Delete": &operatorv1.DeleteResponse{Revision: 4},
		"List":   &operatorv1.ListResponse{Resources: []*operatorv1.Resource{r}},
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		method, code := path.Base(req.URL.Path), "not_found"
		if replies[method] != nil {
			code = strings.TrimSuffix(answer, "behind")
		}
		if method == "Apply" {
			*writes++
		}
		if code == "hang up" {
			panic(http.ErrAbortHandler)
		}
		if code != "" {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = fmt.Fprintf(w, `{"code":%q}`, code)
			return
		}
		w.Header().Set("Content-Type", "application/proto")
		data, _ := proto.Marshal(replies[method])
		_, _ = w.Write(data)
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

// Guards against an exit code that tells a script that a change had no effect
// although it may have had one, and against repeating such a write at a second
// entry host.
func TestExitCodes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "one.yaml")
	require.NoError(t, os.WriteFile(file, []byte("kind: deployment\nmetadata: {name: periyar}\nspec: {priority: 1}\n"), 0o600))
	apply := "apply --file " + file
	for name, c := range map[string]struct {
		args, first, second string // the command line and the answers of the two servers
		exit                ExitCode
		writes              int // writes received by the second server
		output              string
	}{
		"done":              {args: apply + " --wait", output: "1 accepted, 0 unchanged"},
		"delete as JSON":    {args: "delete model a --revision 3 --output json", output: `"revision":`},
		"rejected":          {args: apply, first: "invalid_argument", exit: ExitFailed, output: "one.yaml, document 1"},
		"no address":        {args: "watch model --servers ,", exit: ExitUsage, output: "--servers"},
		"no file":           {args: "apply", exit: ExitUsage, output: "--file"},
		"timeout no number": {args: "status --timeout abc", exit: ExitUsage, output: `--timeout: "abc"`},
		"revision 0":        {args: "delete model a --revision 0", exit: ExitUsage, output: "--revision"},
		"conflict":          {args: apply, first: "aborted", exit: ExitConflict, output: "0 of 1 resources"},
		"next server":       {args: apply, first: "unavailable", writes: 1},
		"unavailable":       {args: apply, first: "unavailable", second: "unavailable", exit: ExitUnavailable, writes: 1},
		"unknown":           {args: apply, first: "unknown", exit: ExitUnknown, output: "outcome is unknown"},
		"broken connection": {args: apply, first: "hang up", exit: ExitUnknown},
		"wait":              {args: apply + " --wait --timeout 1", first: "behind", exit: ExitTimeout, output: "InForce"},
		"not found":         {args: "delete model a", exit: ExitNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			var first, second int
			t.Setenv("TAMARACKCTL_SERVERS", serve(t, c.first, &first)+","+serve(t, c.second, &second))
			var out bytes.Buffer
			require.Equal(t, c.exit, Run(strings.Fields(c.args), &out, &out), out.String())
			require.Contains(t, out.String(), c.output)
			require.Equal(t, c.writes, second)
		})
	}
}
