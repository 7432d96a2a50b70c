package ingress

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot/admission"
)

const (
	// firstBlockBytes and maxBlockBytes are the sizes of the first and of the largest blocks of a
	// body, and minBlockBytes that of the smallest one after a first one of a known, shorter length.
	// Most bodies fit into the first one.
	minBlockBytes   = 512
	firstBlockBytes = 4 << 10
	maxBlockBytes   = 64 << 10
	// renewShare is the part of a timeout, one in so many, after which its deadline is renewed:
	// not with each of many small reads.
	renewShare = 8
)

// errNoMemory means that the host has no memory for a body.
var errNoMemory = errors.New(overloadReason)

// requestBody is the body of a request. It consists of blocks, so that it grows with what arrives
// and is not copied.
type requestBody struct {
	blocks  [][]byte
	size    int
	length  int64 // as announced, -1 if it is not known
	account *admission.Account
	held    int
	// spare is where blocks come from and return to. An endpoint's transport may read the blocks
	// after the request has ended, so that those it was given are not used again.
	spare *blockPool
	given bool
}

// blockPool keeps blocks of maxBlockBytes.
type blockPool struct{ pool sync.Pool }

func (p *blockPool) get() []byte {
	if p != nil {
		if block, ok := p.pool.Get().(*[maxBlockBytes]byte); ok {
			return block[:0]
		}
	}
	return make([]byte, 0, maxBlockBytes)
}

func (p *blockPool) put(block []byte) {
	if p != nil && cap(block) == maxBlockBytes {
		p.pool.Put((*[maxBlockBytes]byte)(block[:maxBlockBytes]))
	}
}

// readFrom reads the body until its end.
func (b *requestBody) readFrom(r io.Reader) error {
	if b.length == 0 {
		return nil
	}
	for {
		block, err := b.space()
		if err != nil {
			return err
		}
		n, err := r.Read(block[len(block):cap(block)])
		b.blocks[len(b.blocks)-1] = block[:len(block)+n]
		b.size += n
		switch {
		case errors.Is(err, io.EOF):
			b.dropEmpty()
			return nil
		case err != nil:
			return err //nolint:wrapcheck // the caller checks its type
		}
	}
}

// dropEmpty drops the last block if nothing arrived in it.
func (b *requestBody) dropEmpty() {
	last := len(b.blocks) - 1
	if size := cap(b.blocks[last]); len(b.blocks[last]) == 0 {
		b.blocks = b.blocks[:last]
		b.account.Release(admission.Bodies, size)
		b.held -= size
	}
}

// space returns the last block, which is not full.
func (b *requestBody) space() ([]byte, error) {
	size := firstBlockBytes
	if n := len(b.blocks); n > 0 {
		last := b.blocks[n-1]
		if len(last) < cap(last) {
			return last, nil
		}
		size = min(max(2*cap(last), minBlockBytes), maxBlockBytes)
	}
	if rest := b.length - int64(b.size); rest > 0 {
		size = int(min(int64(size), rest))
	}
	if !b.account.Hold(admission.Bodies, size, time.Now()) {
		return nil, errNoMemory
	}
	b.held += size
	block := []byte(nil)
	if size == maxBlockBytes {
		block = b.spare.get()
	} else {
		block = make([]byte, 0, size)
	}
	b.blocks = append(b.blocks, block)
	return block, nil
}

// release gives the memory of the body back, which must not be read any more.
func (b *requestBody) release() {
	if !b.given {
		for _, block := range b.blocks {
			b.spare.put(block)
		}
	}
	b.account.Release(admission.Bodies, b.held)
	b.held, b.blocks = 0, nil
}

// reader returns a reader of the whole body. net/http sends what a bytes.Reader holds in one
// write with the head, so that most requests are one packet.
func (b *requestBody) reader() io.Reader {
	b.given = true
	switch len(b.blocks) {
	case 0:
		return bytes.NewReader(nil)
	case 1:
		return bytes.NewReader(b.blocks[0])
	default:
		return &blockReader{rest: b.blocks}
	}
}

// blockReader reads blocks, which it does not change: the next attempt reads them again.
type blockReader struct {
	rest [][]byte
	read int // of the first one
}

// Read implements io.Reader.
func (r *blockReader) Read(p []byte) (int, error) {
	for len(r.rest) > 0 {
		if n := copy(p, r.rest[0][r.read:]); n > 0 {
			r.read += n
			return n, nil
		}
		if len(p) == 0 {
			return 0, nil
		}
		r.rest, r.read = r.rest[1:], 0
	}
	return 0, io.EOF
}
