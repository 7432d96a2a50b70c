package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func valid() []string {
	return []string{
		"--name=a", "--failureDomain=f1", "--callerAddress=127.0.0.1:1", "--peerAddress=127.0.0.1:2",
		"--operatorAddress=127.0.0.1:3", "--platformAddress=127.0.0.1:4",
	}
}

// Guards against invalid settings that are accepted, and against errors that do
// not name the flag, the value and what is allowed.
func TestParseErrors(t *testing.T) {
	tests := map[string]struct {
		extra []string
		want  string
	}{
		"no name":            {[]string{"--name="}, "--name: empty, a name is required"},
		"host name":          {[]string{"--peerAddress=localhost:1"}, `--peerAddress: "localhost:1" is not of the form IP:port`},
		"unspecified":        {[]string{"--callerAddress=0.0.0.0:80"}, `--callerAddress: "0.0.0.0:80" must name an IP and a port that other hosts can reach`},
		"platform scheme":    {[]string{"--platformAddress=http://x"}, `--platformAddress: "http://x" is not of the form IP:port`},
		"log level":          {[]string{"--logLevel=loud"}, `--logLevel: "loud" is not one of [debug info warn error]`},
		"queue no number":    {[]string{"--maxQueue=x"}, `--maxQueue: "x" is not a whole number`},
		"queue out of range": {[]string{"--maxQueue=0"}, "--maxQueue: 0 is not from 1 to 100000"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(append(valid(), tt.extra...))
			require.EqualError(t, err, tt.want)
		})
	}
}

// Guards against an environment variable that overrides an explicit flag.
func TestFlagsPrecedeEnvironment(t *testing.T) {
	t.Setenv("TAMARACKD_MAX_QUEUE", "7")
	t.Setenv("TAMARACKD_REPLAY_MB", "9")
	s, err := Parse(append(valid(), "--maxQueue=8"))
	require.NoError(t, err)
	require.Equal(t, 8, s.MaxQueue)
	require.Equal(t, 9, s.ReplayMB)
}
