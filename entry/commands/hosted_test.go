package commands

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHostedSettings guards against invalid settings that are accepted, and
// against errors that do not name the setting.
func TestHostedSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "boot.toml")
	require.NoError(t, os.WriteFile(file, []byte(`nodeId = "e1"`), 0o600))
	cases := map[string]struct {
		args []string
		path string
		err  string
	}{
		"log level":          {[]string{"hosted", "--logLevel", "loud"}, file, "--logLevel"},
		"metrics port":       {[]string{"hosted", "--metricsPort", "70000"}, file, "--metricsPort"},
		"metrics port, text": {[]string{"hosted", "--metricsPort", "x"}, file, "--metricsPort"},
		"domain price":       {[]string{"hosted", "--domainPrice", "-1"}, file, "--domainPrice"},
		"domain price, NaN":  {[]string{"hosted", "--domainPrice=NaN"}, file, "--domainPrice"},
		"held memory":        {[]string{"hosted", "--heldMB", "x"}, file, "--heldMB"},
		"body timeout":       {[]string{"hosted", "--bodyTimeoutMs", "0"}, file, "--bodyTimeoutMs"},
		"no settings file":   {[]string{"hosted"}, "", "TAMARACKKNOT_CONFIG"},
		"missing file":       {[]string{"hosted"}, file + "x", "boot.tomlx"},
		"incomplete file":    {[]string{"hosted"}, file, "zone"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Setenv("TAMARACKKNOT_CONFIG", c.path)
			var out, errs bytes.Buffer
			require.Equal(t, exitUsage, Run(c.args, &out, &errs))
			require.Contains(t, errs.String(), c.err)
		})
	}
}
