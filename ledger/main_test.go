package ledger

import (
	"testing"

	"tamarackknot.example/tamarackknot/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 100) }
