package daemon

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRecoveryTimes guards against a single fault after whose end some target is
// not served again within recoveryLimit. It logs the recovery times, in simulated
// time.
func TestRecoveryTimes(t *testing.T) {
	faults := map[string][]step{
		"none":                       {},
		"entry host killed":          {{Kind: "kill", A: 0}},
		"all entry hosts killed":     {{Kind: "kill", A: 0}, {Kind: "kill", A: 1}, {Kind: "kill", A: 2}, {Kind: "kill", A: 3}, {Kind: "kill", A: 4}},
		"entry host paused":          {{Kind: "pause", A: 1, On: true}},
		"log down":                   {{Kind: "logDown", On: true}},
		"log cut off from a host":    {{Kind: "logCut", A: 1, On: true}},
		"log answers lost":           {{Kind: "loseAnswers", Calls: 4}},
		"records expired":            {{Kind: "expire"}},
		"messages between hosts cut": {{Kind: "peers", A: 0, B: 1, On: true}, {Kind: "peers", A: 1, B: 2, On: true}},
		"engine dead":                {{Kind: "engineDie", A: 0, On: true}},
		"engines hang":               {{Kind: "engineHang", A: 0, On: true}, {Kind: "engineHang", A: 1, On: true}},
		"order answers lost":         {{Kind: "orderLost", A: 0, On: true}, {Kind: "orderLost", A: 1, On: true}},
		"weight store slow":          {{Kind: "storeSlow", On: true}},
		"host killed during loads":   {{Kind: "burst", A: 1}, {Kind: "burst", A: 2}, {Kind: "kill", A: 0, Wait: time.Second}, {Kind: "kill", A: 2}},
	}
	for name, steps := range faults {
		t.Run(name, func(t *testing.T) {
			var violations []string
			var recovery time.Duration
			synctest.Test(t, func(*testing.T) {
				r := newRun(io.Discard)
				r.callUntilServed(modelName(0))
				for _, s := range steps {
					time.Sleep(s.Wait)
					r.do(s)
				}
				for i := range 10 {
					r.call(i, i, true)
					time.Sleep(time.Second)
				}
				r.heal()
				recovery = r.measureRecovery()
				r.wg.Wait()
				r.checkGuarantees()
				violations = r.finish()
			})
			t.Logf("%s: all targets served %.1f s after its end", name, recovery.Seconds())
			require.Empty(t, violations)
		})
	}
}
