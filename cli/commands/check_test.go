package commands

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// TestCheck guards against faults of a configuration or changes that are not reported, exit
// codes that scripts misread, and keys in the output.
func TestCheck(t *testing.T) {
	cases := map[string]struct {
		args []string
		code ExitCode
	}{
		"faulty":           {[]string{"check", "testdata/faulty.json", "--endpoints", "llm=5", "--endpoints", "plain=3"}, ExitUsage},
		"faulty-json":      {[]string{"--output", "json", "check", "testdata/faulty.json"}, ExitUsage},
		"changes":          {[]string{"check", "testdata/after.json", "--against", "testdata/before.json", "--strict"}, ExitOK},
		"changes-json":     {[]string{"--output", "json", "check", "testdata/after.json", "--against", "testdata/before.json"}, ExitOK},
		"warnings":         {[]string{"check", "testdata/before.json", "--endpoints", "llm=1"}, ExitOK},
		"strict":           {[]string{"check", "testdata/before.json", "--endpoints", "llm=1", "--strict"}, ExitFailed},
		"manifest":         {[]string{"check", "testdata/faulty.yaml"}, ExitUsage},
		"manifest-changes": {[]string{"check", "testdata/faulty.yaml", "--against", "testdata/before.yaml"}, ExitUsage},
		"examples":         {[]string{"check", "../../examples/periyar.yaml", "--strict"}, ExitOK},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			code := Run(tc.args, &out, &errs)
			goldie.New(t).Assert(t, "check-"+name, out.Bytes())
			require.Equal(t, tc.code, code, errs.String())
			require.NotContains(t, out.String()+errs.String(), "secret")
		})
	}
}

// TestCheckFiles guards against files that can't be read or compared and count as valid.
func TestCheckFiles(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.json")
	require.NoError(t, os.WriteFile(broken, []byte(`{"version":1,"tenants":[{"apiKeys":["sk-secret-1"`), 0o600))
	for name, args := range map[string][]string{
		"missing":             {"check", "testdata/missing.json"},
		"broken":              {"check", broken},
		"against broken":      {"check", "testdata/after.json", "--against", broken},
		"against a manifest":  {"check", "testdata/after.json", "--against", "testdata/before.yaml"},
		"number of endpoints": {"check", "testdata/after.json", "--endpoints", "llm=many"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			require.Equal(t, ExitUsage, Run(args, &out, &errs))
			require.NotEmpty(t, errs.String())
			require.NotContains(t, out.String()+errs.String(), "secret")
		})
	}
}

// FuzzCheck guards against files that stop the check, and against keys in its output.
func FuzzCheck(f *testing.F) {
	for _, name := range []string{"faulty.json", "before.json", "after.json", "faulty.yaml"} {
		data, err := os.ReadFile(filepath.Join("testdata", name))
		require.NoError(f, err)
		f.Add(data)
	}
	before := parseConfig("before", []byte(`{"version":1,"services":[{"name":"s","engine":{"models":[{"name":"m"}]}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := parseConfig("file", data)
		if c.catalog != nil && len(c.errors) == 0 {
			require.Empty(t, c.catalog.Warnings, "the daemon leaves out a part without an error")
		}
		_, _, _ = compare(before, c)
		_, _, _ = compare(c, before)
	})
}
