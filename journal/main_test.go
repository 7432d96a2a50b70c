package journal

import (
	"testing"

	"go.uber.org/goleak"

	"tamarackknot.example/tamarackknot/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Fix(60)
	goleak.VerifyTestMain(m)
}
