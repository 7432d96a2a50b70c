package ingress

import (
	"crypto/sha256"
	"encoding/binary"

	"tamarackknot.example/tamarackknot"
)

// contentID returns the id of what the caller asks for: its credentials, the method, host,
// path and query, the model and the body.
func (x *exchange) contentID() tamarackknot.ContentID {
	h := sha256.New()
	credentials := []byte(x.caller.Credentials)
	if x.workspace != nil {
		// A host that gets the request from another one does not know the key itself.
		credentials = x.key[:]
	}
	var size [8]byte
	for _, field := range [][]byte{
		[]byte(x.service), credentials, []byte(x.r.Method), []byte(x.r.Host), []byte(x.r.RequestURI),
		[]byte(x.caller.Model), []byte(x.caller.Adapter),
	} {
		// The size keeps neighbouring fields apart.
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(field)
	}
	binary.BigEndian.PutUint64(size[:], uint64(x.body.size))
	_, _ = h.Write(size[:])
	for _, block := range x.body.blocks {
		_, _ = h.Write(block)
	}
	return tamarackknot.ContentID(h.Sum(nil)[:len(tamarackknot.ContentID{})])
}
