package journal

import (
	"context"
	"fmt"
	"testing"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

// BenchmarkEmptyPoll measures the work of an idle journal per long poll, without
// the wait, for logs of several lengths.
func BenchmarkEmptyPoll(b *testing.B) {
	for _, records := range []int{0, 2000, 20_000} {
		b.Run(fmt.Sprint("records=", records), func(b *testing.B) {
			l := fake.NewLog(fake.LogConfig{})
			for range records {
				if _, err := l.Append(context.Background(), []byte("{}")); err != nil {
					b.Fatal(err)
				}
			}
			j := New(Config{Log: l, Host: "a", Incarnation: "1"})
			j.complete = true
			for o := range records {
				j.ledger.Apply(tamarackknot.Offset(o+1), []byte("{}"))
			}
			b.ReportAllocs()
			for b.Loop() {
				from := j.ledger.Applied() + 1
				j.handlePage(j.tail.read(context.Background(), readRequest{from: from}))
			}
		})
	}
}
