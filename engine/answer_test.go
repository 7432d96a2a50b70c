package engine_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/engine"
	"tamarackknot.example/tamarackknot/internal/answertest"
)

// TestBrokenAnswers guards against a malformed answer that is taken for the outcome of an order, or
// for a report.
func TestBrokenAnswers(t *testing.T) {
	for name, answer := range map[string]answertest.Answer{
		"done":    {Status: "200 OK", Body: `{"outcome":"done"}`},
		"refused": {Status: "200 OK", Body: `{"outcome":"refused"}`},
		"not run": {Status: "503 Service Unavailable", Fields: "Run: notRun\r\n", Body: "{}"},
	} {
		for broken, text := range answer.Broken() {
			t.Run(name+", "+broken, func(t *testing.T) {
				c := newClient(t, engine.Config{})
				address := serve(t, answertest.Handler(text))
				require.Equal(t, tamarackknot.OrderUnknown, c.Order(t.Context(), address, order(tamarackknot.OrderLoad, "a", 1, 1)).Outcome)
				_, err := c.Report(t.Context(), address)
				require.Error(t, err)
			})
		}
	}
}
