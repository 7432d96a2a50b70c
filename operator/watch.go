package operator

import (
	"context"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"tamarackknot.example/tamarackknot"
	operatorv1 "tamarackknot.example/tamarackknot/gen/operator/v1"
)

const (
	// minCompareInterval is the minimum time between two comparisons of a watch
	// with the state, so that a burst of changes costs one comparison.
	minCompareInterval = 100 * time.Millisecond
	// hostCheckInterval is how often a watch checks the entry hosts and reports,
	// whose changes the journal does not signal.
	hostCheckInterval = time.Second
)

// watch holds the resources that one stream has sent and the state that they
// were read from.
type watch struct {
	kind tamarackknot.Kind
	name string // empty for all resources of the kind
	sent map[string]*operatorv1.Resource

	applied      tamarackknot.Offset
	configOffset tamarackknot.Offset
	hosts        []tamarackknot.Member
	checkedAt    time.Time // last check of hosts and reports
}

// Watch sends the current state of the selected resources, then each change
// of their spec or status.
func (s *Server) Watch(ctx context.Context, req *connect.Request[operatorv1.WatchRequest], stream *connect.ServerStream[operatorv1.WatchResponse]) error {
	kind, err := parseKind(req.Msg.GetKind())
	if err != nil {
		return err
	}
	if err := s.checkReady(); err != nil {
		return err
	}
	w := &watch{kind: kind, name: req.Msg.GetName(), sent: map[string]*operatorv1.Resource{}}
	for {
		changed := s.cfg.Journal.Changed()
		if err := w.send(s.changedResources(w), stream); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-time.After(hostCheckInterval):
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(minCompareInterval):
		}
	}
}

// send sends the resources that differ from those last sent; a nil resource does
// not exist.
func (w *watch) send(current map[string]*operatorv1.Resource, stream *connect.ServerStream[operatorv1.WatchResponse]) error {
	for _, name := range slices.Sorted(maps.Keys(current)) {
		old, r := w.sent[name], current[name]
		event := &operatorv1.WatchResponse{Type: operatorv1.WatchResponse_TYPE_SET, Resource: r}
		switch {
		case r == nil && old == nil, r != nil && old != nil && proto.Equal(old, r):
			continue
		case r == nil:
			event = &operatorv1.WatchResponse{Type: operatorv1.WatchResponse_TYPE_DELETED, Resource: old}
			delete(w.sent, name)
		default:
			w.sent[name] = r
		}
		if err := stream.Send(event); err != nil {
			return err
		}
	}
	return nil
}

// changedResources returns the resources that may differ from those last sent,
// with nil for those that do not exist.
func (s *Server) changedResources(w *watch) map[string]*operatorv1.Resource {
	all := w.checkedAt.IsZero()
	if now := time.Now(); now.Sub(w.checkedAt) >= hostCheckInterval {
		hosts := s.servingHosts()
		// Only the status of an endpoint depends on its reports.
		all = all || w.kind == tamarackknot.KindEndpoint || !slices.EqualFunc(hosts, w.hosts, sameConfigOffset)
		w.hosts, w.checkedAt = hosts, now
	}
	out := map[string]*operatorv1.Resource{}
	s.cfg.Journal.Read(func(st tamarackknot.State) {
		names, complete := w.changedNames(st)
		all = all || !complete
		w.applied, w.configOffset = st.Applied(), st.ConfigOffset()
		switch {
		case w.name != "":
			names = []string{w.name}
		case all:
			names = slices.Collect(maps.Keys(w.sent))
			for _, r := range st.Resources(w.kind) {
				out[r.Metadata.Name] = s.describe(st, w.hosts, r)
			}
		}
		for _, name := range names {
			if out[name] != nil {
				continue
			}
			out[name] = nil
			if r, ok := st.Resource(w.kind, name); ok {
				out[name] = s.describe(st, w.hosts, r)
			}
		}
	})
	return out
}

// changedNames returns the names of the resources that were changed by records
// since the last comparison; complete is false if all resources must be
// compared.
func (w *watch) changedNames(st tamarackknot.State) (names []string, complete bool) {
	targets, endpoints, complete := st.ChangedSince(w.applied)
	switch w.kind {
	case tamarackknot.KindModel, tamarackknot.KindAdapter:
		return targets, complete
	case tamarackknot.KindEndpoint:
		return endpoints, complete
	case tamarackknot.KindDeployment, tamarackknot.KindService:
	}
	return nil, st.ConfigOffset() == w.configOffset
}

// sameConfigOffset compares the fields that the condition InForce depends on.
func sameConfigOffset(a, b tamarackknot.Member) bool {
	return a.Host.Name == b.Host.Name && a.ConfigOffset == b.ConfigOffset
}
