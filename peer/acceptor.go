package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/admission"
)

// hello identifies both processes when a connection opens. To is the host name
// that the dialling side expects; it is empty in the answer.
type hello struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	To          string `json:"to,omitempty"`
}

// callMeta carries the deadline of a call as the remaining time, because the
// clocks of two hosts may differ.
type callMeta struct {
	TimeoutMS int64 `json:"timeoutMs"`
}

// acceptor handles the requests of one accepted connection. Requests of this
// host to the peer use the connection that this host dialled, so a handler
// that blocks reading delays only the peer's own requests.
type acceptor struct {
	mesh      *Mesh
	stream    *stream
	from      string // set by handleHello; used only by the reading goroutine
	callSlots chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (a *acceptor) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if a.from == "" {
		a.handleHello(ctx, conn, req)
		return
	}
	h, ok := a.mesh.handler(req.Method)
	if !ok {
		a.reply(ctx, conn, req, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no handler for method " + req.Method})
		return
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if req.Notif {
		if _, err := h(ctx, a.from, params); err != nil {
			a.mesh.cfg.Logger.Debug("failed to handle notification", "method", req.Method, "from", a.from, "err", err)
		}
		return
	}
	select {
	case a.callSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	a.mesh.mu.Lock()
	defer a.mesh.mu.Unlock()
	if a.mesh.closed {
		return
	}
	a.mesh.running.Add(1)
	go a.answerCall(ctx, conn, req, h, params, a.stream.takeHeld())
}

// answerCall runs the handler of one call and sends its result.
func (a *acceptor) answerCall(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, h tamarackknot.PeerHandler, params json.RawMessage, held int) {
	defer a.mesh.running.Done()
	defer a.stream.account.Release(admission.Peers, held)
	defer func() { <-a.callSlots }()
	timeout := defaultCallTimeout
	var meta callMeta
	if req.Meta != nil && json.Unmarshal(*req.Meta, &meta) == nil && meta.TimeoutMS > 0 {
		timeout = time.Duration(meta.TimeoutMS) * time.Millisecond
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := h(callCtx, a.from, params)
	a.reply(ctx, conn, req, result, err)
}

func (a *acceptor) handleHello(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var in hello
	if req.Method != methodHello || req.Params == nil || json.Unmarshal(*req.Params, &in) != nil || in.Host == "" {
		a.mesh.cfg.Logger.Warn("peer connection without hello", "method", req.Method)
		_ = conn.Close()
		return
	}
	cfg := a.mesh.cfg
	if in.To != cfg.Host || in.Host == cfg.Host {
		a.mesh.cfg.Logger.Warn("peer connection for another host", "from", in.Host, "to", in.To)
		a.reply(ctx, conn, req, nil, &jsonrpc2.Error{Code: codeWrongHost, Message: "this is host " + cfg.Host})
		_ = conn.Close()
		return
	}
	a.from = in.Host
	a.stream.host.Store(&in.Host)
	a.reply(ctx, conn, req, hello{Host: cfg.Host, Incarnation: cfg.Incarnation}, nil)
	if cfg.OnConnect != nil {
		cfg.OnConnect(tamarackknot.Process{Host: in.Host, Incarnation: in.Incarnation})
	}
}

func (a *acceptor) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, result any, err error) {
	if req.Notif {
		return
	}
	resp := &jsonrpc2.Response{ID: req.ID}
	if err == nil {
		err = resp.SetResult(result)
	}
	if limit := a.mesh.cfg.MaxMessageBytes - envelopeBytes; err == nil && len(*resp.Result) > limit {
		err = errors.Wrapf(ErrTooLarge, "result of %s has %d bytes, limit %d", req.Method, len(*resp.Result), limit)
	}
	if err != nil {
		resp.Result = nil
		var rpcErr *jsonrpc2.Error
		if !errors.As(err, &rpcErr) {
			rpcErr = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
		}
		resp.Error = rpcErr
	}
	if err := conn.SendResponse(ctx, resp); err != nil {
		a.mesh.cfg.Logger.Debug("failed to send answer", "method", req.Method, "from", a.from, "err", err)
	}
}
