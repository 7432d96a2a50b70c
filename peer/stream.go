package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"tamarackknot.example/tamarackknot/admission"
)

const (
	methodHello   = "hello"
	methodUnknown = "unknown"
	// maxCountedMethods limits the metric names that a peer can create.
	maxCountedMethods = 64
)

var _ jsonrpc2.ObjectStream = (*stream)(nil)

// stream frames JSON-RPC messages with a uvarint length, limits their size and
// counts them by method. jsonrpc2 calls its send hook and WriteObject under one
// lock, so sendMethod is the method of the message being written, and notification is
// that message if it is one. It calls
// ReadObject and its receive hook in one goroutine, so readBytes is the size of
// the message that the hook gets.
type stream struct {
	conn         net.Conn
	r            *bufio.Reader
	maxBytes     int
	writeTimeout time.Duration
	readTimeout  time.Duration // 0 means no timeout
	counters     *counters
	onSent       func(host, method string, bytes int) // may be nil
	host         atomic.Pointer[string]               // at the other end; nil until it is known
	onShed       func()

	// accepted says that the other side dialled. What it sends is counted by account.
	accepted bool
	greeted  bool // the first message has been read
	account  *admission.Account
	held     int // bytes held for the message that was read last

	sendMethod   string
	notification *jsonrpc2.Request
	readBytes    int
	// answering maps the IDs of requests without an answer yet to their methods.
	answering sync.Map
}

func newStream(conn net.Conn, cfg Config, c *counters) *stream {
	return &stream{
		conn:         conn,
		r:            bufio.NewReader(conn),
		maxBytes:     cfg.MaxMessageBytes,
		writeTimeout: cfg.WriteTimeout,
		counters:     c,
		onSent:       cfg.OnSent,
		onShed:       cfg.OnShed,
	}
}

func (s *stream) onSend(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	s.notification = nil
	if req != nil {
		s.sendMethod = req.Method
		if req.Notif && req.Params != nil && req.Meta == nil && len(req.ExtraFields) == 0 {
			s.notification = req
		}
		return
	}
	s.sendMethod = methodUnknown
	if m, ok := s.answering.LoadAndDelete(resp.ID); ok {
		s.sendMethod = m.(string)
	}
}

func (s *stream) onRecv(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	method := methodUnknown
	if req != nil {
		method = req.Method
		if resp == nil && !req.Notif {
			s.answering.Store(req.ID, method)
		}
	}
	s.counters.add("in", method, s.readBytes)
}

// notificationFields are the fields of an encoded notification.
type notificationFields struct {
	Version string          `json:"jsonrpc"`
	Method  string          `json:"method"`
	Params  json.RawMessage `json:"params"`
}

// encode encodes a message. The parameters of a notification are not encoded once more, as
// they would be by jsonrpc2: most messages are notifications.
func (s *stream) encode(obj any) ([]byte, error) {
	if s.notification == nil {
		return json.Marshal(obj)
	}
	return json.Marshal(notificationFields{"2.0", s.notification.Method, *s.notification.Params})
}

// WriteObject closes the connection after a failed write, because part of a
// frame may have been written.
func (s *stream) WriteObject(obj any) error {
	data, err := s.encode(obj)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(data) > s.maxBytes {
		return errors.Wrapf(ErrTooLarge, "%d bytes, limit %d", len(data), s.maxBytes)
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(data)+binary.MaxVarintLen32), uint64(len(data)))
	frame = append(frame, data...)
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	if _, err := s.conn.Write(frame); err != nil {
		_ = s.conn.Close()
		return errors.Wrap(err, "write message")
	}
	s.counters.add("out", s.sendMethod, len(frame))
	if host := s.host.Load(); host != nil && s.onSent != nil {
		s.onSent(*host, s.sendMethod, len(frame))
	}
	return nil
}

// ReadObject returns an error for a frame over the size limit without reading
// it, which makes jsonrpc2 close the connection.
func (s *stream) ReadObject(v any) error {
	s.account.Release(admission.Peers, s.takeHeld())
	s.account.Set(admission.Idle, time.Now())
	timeout, limit := s.readTimeout, s.maxBytes
	if s.accepted && !s.greeted {
		timeout, limit = helloTimeout, maxHelloBytes
	}
	if timeout > 0 {
		if err := s.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			return errors.Wrap(err, "set read deadline")
		}
	}
	n, err := binary.ReadUvarint(s.r)
	if err != nil {
		return err // unwrapped: jsonrpc2 compares it with io.EOF
	}
	if n > uint64(limit) {
		return errors.Wrapf(ErrTooLarge, "%d bytes, limit %d", n, limit)
	}
	data, err := s.readMessage(int(n))
	if err != nil {
		return err // unwrapped: jsonrpc2 compares it with io.ErrUnexpectedEOF
	}
	s.greeted = true
	s.readBytes = int(n) + len(binary.AppendUvarint(nil, n))
	return errors.Wrap(json.Unmarshal(data, v), "decode message")
}

func (s *stream) Close() error { return s.conn.Close() }

// counters counts messages and bytes by direction and method.
type counters struct {
	registry metrics.Registry
	mu       sync.RWMutex
	byName   map[string][2]metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	return &counters{registry: r, byName: make(map[string][2]metrics.Counter)}
}

func (c *counters) add(direction, method string, bytes int) {
	key := direction + "." + method
	c.mu.RLock()
	pair, ok := c.byName[key]
	c.mu.RUnlock()
	if !ok {
		pair = c.register(direction, method)
	}
	pair[0].Inc(1)
	pair[1].Inc(int64(bytes))
}

func (c *counters) register(direction, method string) [2]metrics.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.byName) >= 2*maxCountedMethods {
		method = methodUnknown
	}
	key := direction + "." + method
	if pair, ok := c.byName[key]; ok {
		return pair
	}
	pair := [2]metrics.Counter{
		metrics.GetOrRegisterCounter("peer."+direction+".messages."+method, c.registry),
		metrics.GetOrRegisterCounter("peer."+direction+".bytes."+method, c.registry),
	}
	c.byName[key] = pair
	return pair
}
