package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func valid() []string {
	return []string{
		"--name=a", "--failure-domain=f1", "--caller-address=127.0.0.1:1", "--peer-address=127.0.0.1:2",
		"--operator-address=127.0.0.1:3", "--platform-url=http://127.0.0.1:4",
	}
}

// Guards against a daemon that starts with a setting it cannot honour, or
// that rejects one without naming option, value and what is allowed.
func TestParseErrors(t *testing.T) {
	tests := map[string]struct {
		extra []string
		want  string
	}{
		"no name":            {[]string{"--name="}, "--name: empty, a name is required"},
		"host name":          {[]string{"--peer-address=localhost:1"}, `--peer-address: "localhost:1" is not of the form IP:port`},
		"unspecified":        {[]string{"--caller-address=0.0.0.0:80"}, `--caller-address: "0.0.0.0:80" must name the IP and port under which others reach this host`},
		"platform scheme":    {[]string{"--platform-url=tcp://x"}, `--platform-url: "tcp://x" is not of the form http://IP:port`},
		"log level":          {[]string{"--log-level=loud"}, `--log-level: "loud" is not one of [debug info warn error]`},
		"queue out of range": {[]string{"--max-queue=0"}, "--max-queue: 0 is not from 1 to 100000"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(append(valid(), tt.extra...))
			require.EqualError(t, err, tt.want)
		})
	}
}

// Guards against the environment overriding an explicit flag.
func TestFlagsPrecedeEnvironment(t *testing.T) {
	t.Setenv("TAMARACKD_MAX_QUEUE", "7")
	t.Setenv("TAMARACKD_REPLAY_MB", "9")
	s, err := Parse(append(valid(), "--max-queue=8"))
	require.NoError(t, err)
	require.Equal(t, 8, s.MaxQueue)
	require.Equal(t, 9, s.ReplayMB)
}
