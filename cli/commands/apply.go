package commands

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
	"golang.org/x/sync/errgroup"

	"tamarackknot.example/tamarackknot/cli/manifest"
	operatorv1 "tamarackknot.example/tamarackknot/gen/operator/v1"
	"tamarackknot.example/tamarackknot/internal/wait"
)

// applyConcurrency is the maximum number of concurrent writes; each waits until
// its record is read back from the log.
const applyConcurrency = 8

// waitInterval is how often --wait polls the status.
const waitInterval = 200 * time.Millisecond

func (a *app) apply() *command {
	var file string
	var wait bool
	sub := flaggy.NewSubcommand("apply")
	sub.Description = "creates or changes the resources of a YAML file"
	sub.String(&file, "f", "file", "the file, - for standard input")
	sub.Bool(&wait, "w", "wait", "wait until every change is in force on all entry hosts and every endpoint is ready")
	return &command{sub: sub, run: func(ctx context.Context) error {
		if file == "" {
			return errors.Mark(errors.New("apply: --file is required"), errUsage)
		}
		items, err := manifest.ReadFile(file)
		if err != nil {
			return errors.Mark(err, errUsage)
		}
		applied, err := a.applyAll(ctx, items)
		if err != nil {
			if len(applied) == 0 {
				return err
			}
			// The changes accepted before the failure stay in force.
			return errors.CombineErrors(err, a.printApplied(applied))
		}
		if wait {
			if err := a.waitInForce(ctx, applied); err != nil {
				return err
			}
		}
		return a.printApplied(applied)
	}}
}

// applied is a resource whose change was accepted.
type applied struct {
	Resource *operatorv1.Resource
	Changed  bool
}

// applyAll writes the items kind by kind, since a resource must exist before
// others refer to it. After a failure it starts no further writes, but waits for
// those in progress, so that their outcome is known. It returns the accepted
// resources, also with an error.
func (a *app) applyAll(ctx context.Context, items []manifest.Item) ([]applied, error) {
	out := make([]applied, len(items))
	var failed atomic.Bool
	for start := 0; start < len(items); {
		end := start
		kind := items[start].Resource.GetKind()
		for end < len(items) && items[end].Resource.GetKind() == kind {
			end++
		}
		var g errgroup.Group
		errs := make([]error, len(items))
		g.SetLimit(applyConcurrency)
		for i := start; i < end; i++ {
			g.Go(func() error {
				if failed.Load() {
					return nil
				}
				var err error
				if out[i], err = a.applyItem(ctx, items[i]); err != nil {
					failed.Store(true)
					errs[i] = errors.Wrap(err, items[i].Source)
				}
				return nil
			})
		}
		_ = g.Wait()
		if failed.Load() {
			out = slices.DeleteFunc(out, func(r applied) bool { return r.Resource == nil })
			return out, errors.Wrapf(errors.Join(errs...), "%d of %d resources were applied", len(out), len(items))
		}
		start = end
	}
	return out, nil
}

func (a *app) applyItem(ctx context.Context, item manifest.Item) (applied, error) {
	if !item.HasRevision {
		stored, err := a.fetch(ctx, item.Resource.GetKind(), item.Resource.GetMetadata().GetName())
		if err != nil && connect.CodeOf(err) != connect.CodeNotFound {
			return applied{}, err
		}
		item.Resource.Metadata.Revision = stored.GetMetadata().GetRevision()
	}
	resp, err := write(ctx, a, func(c client) (*connect.Response[operatorv1.ApplyResponse], error) {
		return c.Apply(ctx, connect.NewRequest(&operatorv1.ApplyRequest{Resource: item.Resource}))
	})
	if err != nil {
		return applied{}, err
	}
	return applied{resp.GetResource(), resp.GetChanged()}, nil
}

func (a *app) fetch(ctx context.Context, kind, name string) (*operatorv1.Resource, error) {
	resp, err := read(ctx, a, func(c client) (*connect.Response[operatorv1.GetResponse], error) {
		return c.Get(ctx, connect.NewRequest(&operatorv1.GetRequest{Kind: kind, Name: name}))
	})
	return resp.GetResource(), err
}

// waitInForce waits until the resources are in force on all entry hosts, at
// their current revision or a later one, and the endpoints among them are ready.
func (a *app) waitInForce(ctx context.Context, want []applied) error {
	for {
		unmet, err := a.unmetCondition(ctx, want)
		if err != nil {
			return err
		}
		if unmet == "" {
			return nil
		}
		if !wait.For(ctx, waitInterval) {
			return errors.Mark(fmt.Errorf("accepted, but not true after %d s: %s", a.settings.TimeoutSeconds, unmet), errTimeout)
		}
	}
}

// unmetCondition describes the first condition that is not met yet, or returns
// an empty string.
func (a *app) unmetCondition(ctx context.Context, want []applied) (string, error) {
	resp, err := read(ctx, a, func(c client) (*connect.Response[operatorv1.ListResponse], error) {
		return c.List(ctx, connect.NewRequest(&operatorv1.ListRequest{}))
	})
	if ctx.Err() != nil {
		return "the status could not be read", nil
	}
	if err != nil {
		return "", err
	}
	stored := map[string]*operatorv1.Resource{}
	for _, r := range resp.GetResources() {
		stored[r.GetKind()+"/"+r.GetMetadata().GetName()] = r
	}
	for _, w := range want {
		key := w.Resource.GetKind() + "/" + w.Resource.GetMetadata().GetName()
		r := stored[key]
		if r.GetMetadata().GetRevision() < w.Resource.GetMetadata().GetRevision() {
			return key + " is not in force on the answering entry host", nil
		}
		for _, c := range r.GetStatus().GetConditions() {
			if c.GetType() == "Ready" && r.GetEndpoint().GetDraining() {
				continue
			}
			if c.GetStatus() != "True" {
				return fmt.Sprintf("%s: %s is %s (%s) %s", key, c.GetType(), c.GetStatus(), c.GetReason(), c.GetMessage()), nil
			}
		}
	}
	return "", nil
}
