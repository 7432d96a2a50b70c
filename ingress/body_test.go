package ingress

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot/admission"
)

// TestBodyBlocks guards against bodies that are changed on their way through blocks, hold much
// more than has arrived, or are not sent to an endpoint in one write with the head although they
// are small.
func TestBodyBlocks(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, 4095, 4096, 4097, 65536, 1 << 20} {
		for name, wrap := range map[string]func(io.Reader) io.Reader{"end apart": func(r io.Reader) io.Reader { return r }, "end with data": iotest.DataErrReader} {
			for _, length := range []int64{int64(size), -1} {
				t.Run(fmt.Sprint(size, " bytes, ", name, ", announced ", length), func(t *testing.T) {
					b := admission.New(admission.Config{Bytes: 8 << 20}, time.Now())
					account, _ := b.Group(admission.GroupConfig{}).Open(time.Now(), func(admission.Activity) {})
					body, data := requestBody{account: account, length: length}, bytes.Repeat([]byte("0123456"), size/7+1)[:size]
					require.NoError(t, body.readFrom(wrap(bytes.NewReader(data))))
					require.LessOrEqual(t, b.Used(admission.Bodies), int64(2*size+firstBlockBytes))
					for range 2 {
						r := body.reader()
						if _, known := r.(*bytes.Reader); size <= firstBlockBytes {
							require.True(t, known, "net/http does not know its type")
						}
						read, err := io.ReadAll(r)
						require.NoError(t, err)
						require.True(t, bytes.Equal(data, read))
					}
					body.release()
					require.Zero(t, b.Used(admission.Bodies))
				})
			}
		}
	}
}
