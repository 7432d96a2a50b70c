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

// dialTimeout bounds how long an entry host that does not answer delays the
// attempt at the next one.
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

// call tries the entry hosts in order. It goes on to the next one only after
// an error that says that nothing was changed.
func call[T any](ctx context.Context, a *app, fn func(client) (*connect.Response[T], error)) (*T, error) {
	err := errors.Mark(errors.New("--servers: no address given"), errUsage)
	for _, c := range a.clients {
		var resp *connect.Response[T]
		resp, err = fn(c)
		if err == nil {
			return resp.Msg, nil
		}
		if !triesNext(err) || ctx.Err() != nil {
			return nil, errors.Wrap(err, c.address)
		}
		err = errors.Wrap(err, c.address)
	}
	return nil, err
}

func triesNext(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	// The server answers unavailable only if the change did not reach the
	// log. A broken connection also has this code, so only an answer counts.
	return connect.CodeOf(err) == connect.CodeUnavailable && connect.IsWireError(err)
}
