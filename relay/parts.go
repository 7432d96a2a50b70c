package relay

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/restic/chunker"
)

const (
	// A value is split where its content says so, so that an insertion changes the parts
	// around it only.
	minPartBytes = 1 << 10
	maxPartBytes = 16 << 10
	averageBits  = 12
	// splitPolynomial decides where values are split. Hosts that use different ones have no
	// parts in common.
	splitPolynomial = chunker.Pol(0x3DA3358B4DC173)
	sumBytes        = 8
	partEntryBytes  = 12 // hash and length
)

// errPartInvalid says that a part does not belong to the value.
var errPartInvalid = errors.New("the part does not belong to the value")

// part is a piece of a value.
type part struct {
	hash uint64
	data []byte
}

// splitValue returns the parts of a value in order.
func splitValue(value []byte) ([]part, error) {
	c := chunker.NewWithBoundaries(bytes.NewReader(value), splitPolynomial, minPartBytes, maxPartBytes)
	c.SetAverageBits(averageBits)
	var out []part
	buf := make([]byte, maxPartBytes)
	for at := 0; at < len(value); {
		next, err := c.Next(buf)
		if err != nil {
			return nil, errors.Wrap(err, "split a value")
		}
		data := value[at : at+int(next.Length)]
		out = append(out, part{xxhash.Sum64(data), data})
		at += len(data)
	}
	return out, nil
}

// manifest lists the parts of a value.
type manifest struct {
	sum   uint64 // hash of the value
	parts []partEntry
}

type partEntry struct {
	hash   uint64
	length int
}

// encodeManifest returns the manifest of a value with these parts.
func encodeManifest(value []byte, parts []part) []byte {
	out := binary.BigEndian.AppendUint64(make([]byte, 0, sumBytes+len(parts)*partEntryBytes), xxhash.Sum64(value))
	for _, p := range parts {
		out = binary.BigEndian.AppendUint64(out, p.hash)
		out = binary.BigEndian.AppendUint32(out, uint32(len(p.data)))
	}
	return out
}

// decodeManifest decodes the manifest of a value of some size.
func decodeManifest(data []byte, size int) (manifest, error) {
	if len(data) < sumBytes || (len(data)-sumBytes)%partEntryBytes != 0 {
		return manifest{}, errors.Newf("manifest of %d bytes", len(data))
	}
	m := manifest{sum: binary.BigEndian.Uint64(data)}
	for rest := data[sumBytes:]; len(rest) > 0; rest = rest[partEntryBytes:] {
		e := partEntry{binary.BigEndian.Uint64(rest), int(binary.BigEndian.Uint32(rest[sumBytes:]))}
		if e.length == 0 || e.length > maxPartBytes || e.length > size {
			return manifest{}, errors.Newf("manifest with a part of %d bytes for a value of %d", e.length, size)
		}
		size -= e.length
		m.parts = append(m.parts, e)
	}
	if size != 0 {
		return manifest{}, errors.Newf("manifest lacks %d bytes of the value", size)
	}
	return m, nil
}

// missing returns the indices of the parts that are not known, at most as many as have
// chunkBytes, and whether these are all.
func (m manifest) missing(known map[uint64][]byte) (out []int, all bool) {
	bytes := 0
	asked := make(map[uint64]bool)
	for i, e := range m.parts {
		if _, ok := known[e.hash]; ok || asked[e.hash] {
			continue
		}
		if bytes += e.length; bytes > chunkBytes {
			return out, false
		}
		asked[e.hash] = true
		out = append(out, i)
	}
	return out, true
}

// cut adds the data of the parts with the indices to the known ones.
func (m manifest) cut(indices []int, data []byte, known map[uint64][]byte) error {
	for _, i := range indices {
		e := m.parts[i]
		if len(data) < e.length || xxhash.Sum64(data[:e.length]) != e.hash {
			return errPartInvalid
		}
		known[e.hash], data = data[:e.length], data[e.length:]
	}
	if len(data) > 0 {
		return errPartInvalid
	}
	return nil
}

// join returns the value of which all parts are known.
func (m manifest) join(known map[uint64][]byte, size int) ([]byte, error) {
	value := make([]byte, 0, size)
	for _, e := range m.parts {
		value = append(value, known[e.hash]...)
	}
	if len(value) != size || xxhash.Sum64(value) != m.sum {
		return nil, errPartInvalid
	}
	return value, nil
}
