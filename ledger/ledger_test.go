package ledger

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

func encodeRecord(tb testing.TB, id string, at time.Time, c tamarackknot.Change) []byte {
	tb.Helper()
	data, err := json.Marshal(tamarackknot.Record{ID: id, Host: "h", Incarnation: "1", Time: at, Change: c})
	require.NoError(tb, err)
	return data
}

// Guards against a delayed duplicate of a record that frees a key: it must not
// free a later claim of the key by the same process, or the request could run
// twice. The duplicate arrives at a restored ledger after its id has expired.
func TestLateFreeKeepsLaterClaim(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := New(Config{})
	keys := func(at time.Time) *tamarackknot.KeyBatch {
		return &tamarackknot.KeyBatch{Claims: []tamarackknot.KeyClaim{{Key: "k", Digest: "d", Created: at}}}
	}
	free := encodeRecord(t, "free", at.Add(time.Second), tamarackknot.Change{KeysFree: keys(at)})
	later := at.Add(20 * time.Minute)
	for i, data := range [][]byte{
		encodeRecord(t, "first", at, tamarackknot.Change{Keys: keys(at)}), free,
		encodeRecord(t, "second", later, tamarackknot.Change{Keys: keys(later)}),
	} {
		_, out := l.Apply(tamarackknot.Offset(i+1), data)
		require.True(t, out.Keys[0].Accepted)
	}
	chunks, err := l.Encode()
	require.NoError(t, err)
	l, err = Restore(Config{}, chunks)
	require.NoError(t, err)
	_, out := l.Apply(4, free)
	require.Equal(t, tamarackknot.ReasonConflict, out.Keys[0].Reason)
}

// Guards against a late run of a request whose caller got the answer that it did
// not run: an attempt that arrived before the key was freed must not claim it
// afterwards, also at a restored ledger and with another creation time.
func TestFreedKey(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := New(Config{})
	apply := func(c tamarackknot.Change) tamarackknot.KeyOutcome {
		offset := l.Applied() + 1
		_, out := l.Apply(offset, encodeRecord(t, fmt.Sprint(offset), at, c))
		require.Len(t, out.Keys, 1)
		return out.Keys[0]
	}
	batch := func(seen tamarackknot.Offset, created time.Time, digest string) *tamarackknot.KeyBatch {
		return &tamarackknot.KeyBatch{Claims: []tamarackknot.KeyClaim{{Key: "k", Digest: digest, Created: created, Seen: seen}}}
	}
	claim := func(seen tamarackknot.Offset, created time.Time, digest string) tamarackknot.KeyOutcome {
		return apply(tamarackknot.Change{Keys: batch(seen, created, digest)})
	}
	free := tamarackknot.Change{KeysFree: batch(0, at, "d")}
	require.True(t, claim(0, at, "d").Accepted)
	require.True(t, apply(free).Accepted) // offset 2
	require.Equal(t, tamarackknot.ReasonNotFound, apply(free).Reason)
	chunks, err := l.Encode()
	require.NoError(t, err)
	l, err = Restore(Config{}, chunks)
	require.NoError(t, err)
	conflict := tamarackknot.KeyOutcome{Reason: tamarackknot.ReasonConflict}
	require.Equal(t, conflict, claim(0, at, "d"))
	require.Equal(t, conflict, claim(1, at.Add(time.Minute), "d"))
	require.Equal(t, tamarackknot.ReasonInvalid, claim(2, at, "other").Reason)
	require.True(t, claim(2, at.Add(-time.Minute), "d").Accepted)
	require.Equal(t, "h", claim(9, at, "d").Owner.Host)
	at = at.Add(10*time.Minute + 30*time.Second)
	require.Equal(t, tamarackknot.ReasonConflict, claim(9, at, "d").Reason, "the key expires with the later time of creation")
}

// Guards against damaged or truncated snapshots that are restored as a state.
func TestRestoreRejectsDamage(t *testing.T) {
	l := New(Config{})
	populate(t, l, 200, 4, 0)
	chunks, err := l.Encode()
	require.NoError(t, err)
	data := chunks[0]
	for name, damaged := range map[string][]byte{
		"empty": nil, "short": data[:4], "truncated": data[:len(data)-20], "flipped": append([]byte{data[0] ^ 1}, data[1:]...),
	} {
		_, err := Restore(Config{}, [][]byte{damaged})
		require.Error(t, err, name)
	}
}

// Guards against hosts that stop at invalid records or at records of a newer
// program.
func TestUnknownRecordsAreSkipped(t *testing.T) {
	l := New(Config{})
	for i, data := range []string{
		``, `{`, `null`, `[]`, `{"id":"a"}`,
		`{"id":"a","host":"h","incarnation":"1","time":"9999-01-01T00:00:00Z","keys":{}}`,
		`{"id":"a","host":"h","incarnation":"1","time":"2026-01-01T00:00:00Z","later":{}}`,
		`{"id":"b","host":"h","incarnation":"1","time":"2026-01-01T00:00:00Z","keys":{},"keysFree":{}}`,
		`{"id":"c","host":"h","incarnation":"1","time":"2026-01-01T00:00:00Z","apply":{}}`,
		`{"id":"d","host":"h","incarnation":"1","time":"2026-01-01T00:00:00Z","apply":{"resource":{"kind":"model"}}}`,
		`{"id":"e","host":"h","incarnation":"1","time":"2026-01-01T00:00:00Z","remove":{"kind":"x"}}`,
		`{"id":"f","host":"h","incarnation":"1","time":"2026-01-01T00:00:00Z","snapshot":{"snapshotId":"s","count":-1}}`,
	} {
		_, out := l.Apply(tamarackknot.Offset(i+1), []byte(data))
		require.Equal(t, tamarackknot.ReasonInvalid, out.Reason, data)
		require.NotEmpty(t, out.Detail)
	}
	require.Equal(t, tamarackknot.Offset(12), l.Applied())
}

// Guards against invalid values that are accepted, and against errors that lack
// the field, the value or the allowed values.
func TestValidate(t *testing.T) {
	tests := map[string]struct {
		change func(*tamarackknot.Resource)
		want   string
	}{
		"kind":      {func(r *tamarackknot.Resource) { r.Kind = "pod" }, `kind "pod": allowed are [deployment model adapter service endpoint]`},
		"name":      {func(r *tamarackknot.Resource) { r.Metadata.Name = "a b" }, `metadata.name "a b": allowed are 1 to 128 letters, digits and ._- after a letter or digit`},
		"no spec":   {func(r *tamarackknot.Resource) { r.Endpoint = nil }, `spec "(none)": allowed are the fields of kind endpoint`},
		"two specs": {func(r *tamarackknot.Resource) { r.Model = &tamarackknot.ModelSpec{} }, `spec "model": allowed are only the fields of kind endpoint`},
		"address":   {func(r *tamarackknot.Resource) { r.Endpoint.Address = "host:1" }, `spec.address "host:1": allowed are IP:port in canonical form, such as 10.1.2.3:8000 or [fd00::1]:8000`},
		"mapped":    {func(r *tamarackknot.Resource) { r.Endpoint.Address = "[::ffff:10.0.0.1]:80" }, `spec.address "[::ffff:10.0.0.1]:80": allowed are IP:port in canonical form, such as 10.1.2.3:8000 or [fd00::1]:8000`},
		"memory":    {func(r *tamarackknot.Resource) { r.Endpoint.MemoryMB = -1 }, `spec.memoryMB -1: allowed are 1 to 100000000`},
		"slots":     {func(r *tamarackknot.Resource) { r.Endpoint.Slots = 0 }, `spec.slots 0: allowed are 1 to 100000`},
		"two":       {func(r *tamarackknot.Resource) { r.Endpoint.Slots, r.Endpoint.Deployment = 0, "" }, "spec.deployment \"\": allowed are 1 to 128 letters, digits and ._- after a letter or digit\nspec.slots 0: allowed are 1 to 100000"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := endpoint("e", 1, 10)
			require.NoError(t, Validate(r))
			test.change(&r)
			require.EqualError(t, Validate(r), test.want)
		})
	}
}

// populate applies 97 models and the given numbers of adapters, endpoints and
// replicas.
func populate(tb testing.TB, l *Ledger, adapters, endpoints, replicas int) {
	tb.Helper()
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	apply := func(c tamarackknot.Change) {
		next := l.Applied() + 1
		_, out := l.Apply(next, encodeRecord(tb, fmt.Sprint("id", next), at.Add(time.Duration(next)*time.Millisecond), c))
		require.True(tb, out.Accepted, "%+v", out)
	}
	set := func(r tamarackknot.Resource) {
		apply(tamarackknot.Change{Apply: &tamarackknot.Apply{Resource: r}})
	}
	set(resource(step{Op: "deployment"}))
	const models = 97
	for i := range models {
		set(model(fmt.Sprintf("model-%02d", i), 100, 100_000))
	}
	for i := range adapters {
		set(adapter(fmt.Sprintf("adapter-%05d", i), fmt.Sprintf("model-%02d", i%models), 10))
	}
	for i := range endpoints {
		set(endpoint(fmt.Sprintf("endpoint-%05d", i), i, 1000))
	}
	for i := range replicas {
		target := fmt.Sprintf("model-%02d", i%models)
		apply(tamarackknot.Change{Claim: &tamarackknot.Claim{Target: target, Endpoint: fmt.Sprintf("endpoint-%05d", i), Basis: l.Basis(target)}})
	}
}

// Guards against a list of changes that grows without limit, and against one
// that is reported as complete after changes were dropped or after a restore.
func TestChangesAreBounded(t *testing.T) {
	l := New(Config{})
	populate(t, l, 3*maxChanges, 0, 0)
	require.LessOrEqual(t, len(l.changes.entries), 2*maxChanges)
	_, _, complete := l.ChangedSince(0)
	require.False(t, complete)
	targets, _, complete := l.ChangedSince(l.Applied() - maxChanges)
	require.True(t, complete)
	require.Len(t, targets, maxChanges)
	targets, _, complete = l.ChangedSince(l.changes.since)
	require.True(t, complete)
	require.Len(t, targets, len(l.changes.entries))
	require.Equal(t, l.changes.since+1, l.changes.entries[0].offset)

	chunks, err := l.Encode()
	require.NoError(t, err)
	restored, err := Restore(Config{}, chunks)
	require.NoError(t, err)
	_, _, complete = restored.ChangedSince(l.Applied() - 1)
	require.False(t, complete)
	_, _, complete = restored.ChangedSince(l.Applied())
	require.True(t, complete)
}
