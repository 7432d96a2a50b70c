package commands

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExplain guards against a command line of explain that is taken wrongly or
// whose error does not name the flag.
func TestExplain(t *testing.T) {
	logs := filepath.Join(t.TempDir(), "logs")
	line := "1.0 h1 msg=answered route=r model=m prompt=p ran=1 ms=900 objectiveMs=400 status=200 firstMs=850\n"
	require.NoError(t, os.WriteFile(logs, []byte(line), 0o600))
	cases := map[string]struct {
		args []string
		code ExitCode
		want string
	}{
		"table":          {[]string{"--logs", logs, "--worth", "r=4:1"}, ExitOK, "queued behind prompts at the engine"},
		"json":           {[]string{"--output", "json", "--logs", logs}, ExitOK, `"earned":0,"bound":1,"lost":{"queued behind prompts at the engine":1}`},
		"no file":        {[]string{"--logs", logs + ".missing"}, ExitUsage, "--logs"},
		"wrong worth":    {[]string{"--logs", logs, "--worth", "r=1:4"}, ExitUsage, "--worth"},
		"wrong interval": {[]string{"--logs", logs, "--interval", "0"}, ExitUsage, "--interval"},
		"wrong plot":     {[]string{"--logs", logs, "--plot", filepath.Join(t.TempDir(), "x.doc")}, ExitUsage, "plot"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := Run(append([]string{"explain"}, c.args...), &out, &errOut)
			require.Equal(t, c.code, code, errOut.String())
			require.Contains(t, out.String()+errOut.String(), c.want)
		})
	}
}
