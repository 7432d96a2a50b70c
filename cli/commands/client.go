package commands

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot/gen/operator/v1/operatorv1connect"
)

// dialTimeout limits how long an unreachable entry host delays the attempt with
// the next one.
const dialTimeout = 2 * time.Second

// client is the resource API of one entry host.
type client struct {
	address string
	operatorv1connect.ResourceServiceClient
}

func newClients(servers string) []client {
	hc := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}}
	var out []client
	for address := range strings.SplitSeq(servers, ",") {
		address = strings.TrimSpace(address)
		if address == "" {
			continue
		}
		base := "http://" + strings.TrimPrefix(address, "http://")
		out = append(out, client{address, operatorv1connect.NewResourceServiceClient(hc, base)})
	}
	return out
}

// read tries the entry hosts in order. A read has no effects, so it tries the
// next host after every error except those about the request itself.
func read[T any](ctx context.Context, a *app, fn func(client) (*connect.Response[T], error)) (*T, error) {
	resp, err := tryHosts(ctx, a, fn, func(err error) bool { return !isFinalAnswer(err) })
	if err != nil && !isFinalAnswer(err) {
		err = errors.Mark(err, errNotChanged)
	}
	return resp, err
}

// write tries the entry hosts in order. It tries the next host only after an
// error that says that nothing was changed.
func write[T any](ctx context.Context, a *app, fn func(client) (*connect.Response[T], error)) (*T, error) {
	resp, err := tryHosts(ctx, a, fn, notChanged)
	switch {
	case err == nil || isFinalAnswer(err):
	case notChanged(err):
		err = errors.Mark(err, errNotChanged)
	default:
		err = errors.Mark(errors.Wrap(err, "the outcome is unknown"), errUnknown)
	}
	return resp, err
}

// tryHosts calls fn for the entry hosts in order, until it succeeds or tryNext
// returns false for its error.
func tryHosts[T any](ctx context.Context, a *app, fn func(client) (*connect.Response[T], error), tryNext func(error) bool) (*T, error) {
	var err error
	for _, c := range a.clients {
		var resp *connect.Response[T]
		resp, err = fn(c)
		if err == nil {
			return resp.Msg, nil
		}
		err = errors.Wrap(err, c.address)
		if !tryNext(err) || ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// isFinalAnswer reports whether an entry host refused the request for a reason
// that applies to every other entry host too.
func isFinalAnswer(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeFailedPrecondition, connect.CodeAborted,
		connect.CodeNotFound, connect.CodeUnimplemented:
		return true
	default:
		return false
	}
}

// notChanged reports whether err says that a write had no effect.
func notChanged(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	// The server answers unavailable only if the change did not reach the
	// log. A broken connection also has this code, so only an answer counts.
	return connect.CodeOf(err) == connect.CodeUnavailable && connect.IsWireError(err)
}
