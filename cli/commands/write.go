package commands

import (
	"context"
	"fmt"
	"strconv"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	operatorv1 "tamarackknot.example/tamarackknot/gen/operator/v1"
	"tamarackknot.example/tamarackknot/internal/wait"
)

func (a *app) delete() *command {
	var kind, name, onlyRevision string
	sub := flaggy.NewSubcommand("delete")
	sub.Description = "removes a resource"
	sub.AddPositionalValue(&kind, "kind", 1, true, "deployment, model, adapter, service or endpoint")
	sub.AddPositionalValue(&name, "name", 2, true, "name of the resource")
	sub.String(&onlyRevision, "r", "revision", "remove only this revision; without it, the stored one")
	return &command{sub: sub, run: func(ctx context.Context) error {
		var revision int64
		if onlyRevision != "" {
			var err error
			if revision, err = strconv.ParseInt(onlyRevision, 10, 64); err != nil || revision < 1 {
				return errors.Mark(fmt.Errorf("--revision: %q is not a whole number above 0", onlyRevision), errUsage)
			}
		} else {
			r, err := a.fetch(ctx, kind, name)
			if err != nil {
				return err
			}
			revision = r.GetMetadata().GetRevision()
		}
		resp, err := write(ctx, a, func(c client) (*connect.Response[operatorv1.DeleteResponse], error) {
			return c.Delete(ctx, connect.NewRequest(&operatorv1.DeleteRequest{Kind: kind, Name: name, Revision: revision}))
		})
		if err != nil {
			return err
		}
		if a.json() {
			return a.printJSON(resp)
		}
		_, err = fmt.Fprintf(a.out, "%s/%s deleted at revision %d\n", kind, name, resp.GetRevision())
		return err
	}}
}

func (a *app) drain() *command   { return a.setDraining("drain", true) }
func (a *app) undrain() *command { return a.setDraining("undrain", false) }

// setDraining sets or clears the draining flag of an endpoint. The flag is part
// of the configuration, so it survives the restart and the loss of entry hosts.
func (a *app) setDraining(verb string, draining bool) *command {
	var name string
	var wait bool
	sub := flaggy.NewSubcommand(verb)
	sub.Description = "takes an endpoint out of routing and placement"
	if !draining {
		sub.Description = "puts a drained endpoint back into routing and placement"
	}
	sub.AddPositionalValue(&name, "endpoint", 1, true, "name of the endpoint")
	sub.Bool(&wait, "w", "wait", "wait until it is in force everywhere and, for drain, nothing is loaded there")
	return &command{sub: sub, run: func(ctx context.Context) error {
		r, err := a.fetch(ctx, "endpoint", name)
		if err != nil {
			return err
		}
		spec := r.GetEndpoint()
		if spec == nil {
			return fmt.Errorf("endpoint %q: answer has no spec", name)
		}
		spec.Draining = draining
		resp, err := write(ctx, a, func(c client) (*connect.Response[operatorv1.ApplyResponse], error) {
			return c.Apply(ctx, connect.NewRequest(&operatorv1.ApplyRequest{Resource: r}))
		})
		if err != nil {
			return err
		}
		list := []applied{{resp.GetResource(), resp.GetChanged()}}
		if wait {
			if err := a.waitInForce(ctx, list); err != nil {
				return err
			}
			if err := a.waitUnloaded(ctx, name, draining); err != nil {
				return err
			}
		}
		return a.printApplied(list)
	}}
}

// waitUnloaded waits until no replica is reserved on a draining endpoint.
func (a *app) waitUnloaded(ctx context.Context, name string, draining bool) error {
	for draining {
		r, err := a.fetch(ctx, "endpoint", name)
		if err != nil && ctx.Err() == nil {
			return err
		}
		n := len(r.GetStatus().GetReplicas())
		if err == nil && n == 0 {
			return nil
		}
		if !wait.For(ctx, waitInterval) {
			return errors.Mark(fmt.Errorf("draining, but %d replicas are still reserved on endpoint %q", n, name), errTimeout)
		}
	}
	return nil
}
