package commands

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	operatorv1 "tamarackknot.example/tamarackknot/gen/operator/v1"
)

func (a *app) get() *command {
	var kind, name string
	sub := flaggy.NewSubcommand("get")
	sub.Description = "prints one resource with its status"
	sub.AddPositionalValue(&kind, "kind", 1, true, "deployment, model, adapter, service or endpoint")
	sub.AddPositionalValue(&name, "name", 2, true, "name of the resource")
	return &command{sub: sub, run: func(ctx context.Context) error {
		r, err := a.fetch(ctx, kind, name)
		if err != nil {
			return err
		}
		return a.printResource(r)
	}}
}

func (a *app) list() *command {
	var kind, deployment string
	sub := flaggy.NewSubcommand("list")
	sub.Description = "prints the resources of a kind, or all"
	sub.AddPositionalValue(&kind, "kind", 1, false, "deployment, model, adapter, service or endpoint")
	sub.String(&deployment, "d", "deployment", "only resources of this deployment")
	return &command{sub: sub, run: func(ctx context.Context) error {
		resp, err := read(ctx, a, func(c client) (*connect.Response[operatorv1.ListResponse], error) {
			return c.List(ctx, connect.NewRequest(&operatorv1.ListRequest{Kind: kind, Deployment: deployment}))
		})
		if err != nil {
			return err
		}
		return a.printList(resp)
	}}
}

func (a *app) status() *command {
	sub := flaggy.NewSubcommand("status")
	sub.Description = "prints the entry hosts and the configuration that each has in force"
	return &command{sub: sub, run: func(ctx context.Context) error {
		resp, err := read(ctx, a, func(c client) (*connect.Response[operatorv1.StatusResponse], error) {
			return c.Status(ctx, connect.NewRequest(&operatorv1.StatusRequest{}))
		})
		if err != nil {
			return err
		}
		return a.printStatus(resp)
	}}
}

func (a *app) watch() *command {
	var kind, name string
	sub := flaggy.NewSubcommand("watch")
	sub.Description = "prints resources of a kind whenever their spec or status changes"
	sub.AddPositionalValue(&kind, "kind", 1, true, "deployment, model, adapter, service or endpoint")
	sub.AddPositionalValue(&name, "name", 2, false, "name of the resource")
	return &command{sub: sub, untilInterrupted: true, run: func(ctx context.Context) error {
		return a.followWatch(ctx, kind, name)
	}}
}

// followWatch prints the events of one entry host and switches to the next host
// when the stream ends. Every stream starts with the current state, so no change
// is missed.
func (a *app) followWatch(ctx context.Context, kind, name string) error {
	var err error
	failures := 0 // consecutive streams without an event
	for i := 0; ctx.Err() == nil; i++ {
		c := a.clients[i%len(a.clients)]
		var stream *connect.ServerStreamForClient[operatorv1.WatchResponse]
		stream, err = c.Watch(ctx, connect.NewRequest(&operatorv1.WatchRequest{Kind: kind, Name: name}))
		received := false
		for err == nil && stream.Receive() {
			received = true
			failures = 0
			if err := a.printEvent(stream.Msg()); err != nil {
				return err
			}
		}
		if err == nil {
			err = stream.Err()
			_ = stream.Close()
		}
		if ctx.Err() != nil {
			return nil
		}
		if !received {
			failures++
		}
		if connect.CodeOf(err) == connect.CodeInvalidArgument {
			return err
		}
		if failures > len(a.clients) {
			return errors.Mark(err, errNotChanged)
		}
	}
	return nil
}
