package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"tamarackknot.example/tamarackknot"
)

// Request headers of the API for callers.
const (
	headerDeadline   = "Request-Deadline"
	headerPriority   = "Request-Priority"
	headerRepeatable = "Request-Repeatable"
	headerKey        = "Idempotency-Key"
	headerCreated    = "Request-Created"
)

// Values of boolean headers and fields.
const (
	valueTrue  = "true"
	valueFalse = "false"
)

const (
	defaultTimeout  = 30 * time.Second
	maxDeadline     = 10 * time.Minute
	defaultPriority = 5
	maxPriority     = 9
	// keyMaxAge is the age after which a key is no longer accepted.
	keyMaxAge = 10 * time.Minute
	// maxClockSkew is how far ahead of this host's clock the creation time of a
	// key may be.
	maxClockSkew = time.Minute
	maxKeyLength = 255
)

// options are the parsed request headers of the API for callers.
type options struct {
	deadline   time.Time
	priority   int
	repeatable *bool // nil if the default of the route applies
	key        string
	created    time.Time
}

// parseOptions parses and checks the headers of a request. deadline is the
// default deadline. Each header may appear at most once. openAI says that the
// route is one of OpenAI's, whose clients send keys without a creation time.
func parseOptions(h http.Header, now, deadline time.Time, openAI bool) (options, *failure) {
	o := options{deadline: deadline, priority: defaultPriority}
	for _, name := range []string{headerDeadline, headerPriority, headerRepeatable, headerKey, headerCreated} {
		if vs := h.Values(name); len(vs) > 1 {
			return o, invalid(name, strings.Join(vs, ", "), "one value")
		}
	}
	if f := o.parseDeadline(h, now); f != nil {
		return o, f
	}
	if v, ok := headerValue(h, headerPriority); ok {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 || n > maxPriority || len(v) != 1 {
			return o, invalid(headerPriority, v, "an integer from 0 to 9")
		}
		o.priority = n
	}
	if v, ok := headerValue(h, headerRepeatable); ok {
		if v != valueTrue && v != valueFalse {
			return o, invalid(headerRepeatable, v, "true or false")
		}
		repeatable := v == valueTrue
		o.repeatable = &repeatable
	}
	return o, o.parseKey(h, now, openAI)
}

func headerValue(h http.Header, name string) (string, bool) {
	vs := h.Values(name)
	if len(vs) == 0 {
		return "", false
	}
	return vs[0], true
}

func (o *options) parseDeadline(h http.Header, now time.Time) *failure {
	v, ok := headerValue(h, headerDeadline)
	if !ok {
		return nil
	}
	at, err := time.Parse(time.RFC3339, v)
	if err != nil {
		return invalid(headerDeadline, v, "a time in RFC 3339 format, for example 2026-01-02T15:04:05.5Z")
	}
	if limit := now.Add(maxDeadline); at.After(limit) {
		return invalid(headerDeadline, v, "a time at most 10 minutes ahead, now "+limit.UTC().Format(time.RFC3339))
	}
	if !at.After(now) {
		f := deadlinePassed(NotRun)
		f.param = headerDeadline
		f.message = fmt.Sprintf("%s: value %q has passed; the time here is %s", headerDeadline, v,
			now.UTC().Format(time.RFC3339Nano))
		return f
	}
	o.deadline = at
	return nil
}

func (o *options) parseKey(h http.Header, now time.Time, openAI bool) *failure {
	created, hasCreated := headerValue(h, headerCreated)
	if hasCreated {
		at, err := time.Parse(time.RFC3339, created)
		if err != nil {
			return invalid(headerCreated, created, "a time in RFC 3339 format, for example 2026-01-02T15:04:05Z")
		}
		o.created = at
	}
	key, ok := headerValue(h, headerKey)
	if !ok {
		if hasCreated {
			return invalid(headerCreated, created, "only together with "+headerKey)
		}
		return nil
	}
	if !validKey(key) {
		f := invalid(headerKey, key, "1 to 255 visible ASCII characters")
		f.finalForKey = true // no entry host accepts the key
		return f
	}
	o.key = key
	name := headerCreated
	if !hasCreated {
		id, err := uuid.Parse(key)
		if err != nil || id.Version() != 7 {
			if openAI {
				o.created = now
				return nil
			}
			return invalid(headerKey, key, "a UUIDv7, or any key together with "+headerCreated)
		}
		sec, nsec := id.Time().UnixTime()
		o.created = time.Unix(sec, nsec)
		created, name = key, headerKey
	}
	switch {
	case o.created.Before(now.Add(-keyMaxAge)):
		f := invalid(name, created, "a time at most 10 minutes ago")
		f.code = "keyExpired"
		return f
	case o.created.After(now.Add(maxClockSkew)):
		return invalid(name, created, "a time at most 1 minute ahead, the time here is "+now.UTC().Format(time.RFC3339))
	}
	return nil
}

func validKey(key string) bool {
	if key == "" || len(key) > maxKeyLength {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// keyClaim returns the claim of a request key. The key is scoped by the caller's
// credentials. The digest covers the method, the URI, the content type and the
// body.
func keyClaim(r *http.Request, o *options, body []byte) tamarackknot.KeyClaim {
	scope := sha256.New()
	for _, part := range []string{r.Header.Get("Authorization"), o.key} {
		writePart(scope, []byte(part))
	}
	digest := sha256.New()
	for _, part := range []string{r.Method, r.URL.RequestURI(), r.Header.Get("Content-Type")} {
		writePart(digest, []byte(part))
	}
	writePart(digest, body)
	return tamarackknot.KeyClaim{
		Key:     hex.EncodeToString(scope.Sum(nil)),
		Digest:  hex.EncodeToString(digest.Sum(nil)),
		Created: o.created,
	}
}

// writePart writes part with a length prefix, so that different sequences of
// parts cannot yield the same bytes.
func writePart(w io.Writer, part []byte) {
	_, _ = fmt.Fprintf(w, "%d:", len(part))
	_, _ = w.Write(part)
}

// hopByHop returns the hop-by-hop headers, which are not forwarded.
func hopByHop() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}
}

// copyEndToEnd copies the end-to-end headers except those in skip.
func copyEndToEnd(dst, src http.Header, skip ...string) {
	drop := append(hopByHop(), skip...)
	for _, v := range src.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			drop = append(drop, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, vs := range src {
		if !slices.Contains(drop, name) {
			dst[name] = append(dst[name], vs...)
		}
	}
}
