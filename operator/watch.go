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
	// watchInterval bounds how often a watch looks at the state, so that a
	// burst of changes costs one comparison.
	watchInterval = 100 * time.Millisecond
	// hostsInterval is how often a watch looks at entry hosts and reports,
	// which do not signal a change of the journal.
	hostsInterval = time.Second
)

// watch is what one stream has sent and from which state.
type watch struct {
	kind tamarackknot.Kind
	name string // empty for all
	sent map[string]*operatorv1.Resource

	applied tamarackknot.Offset
	config  tamarackknot.Offset
	hosts   []tamarackknot.Member
	checked time.Time // when hosts and reports were last looked at
}

// Watch sends the present state of the selected resources, then each change
// of spec or status.
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
		if err := w.send(s.compared(w), stream); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-time.After(hostsInterval):
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(watchInterval):
		}
	}
}

// send sends what differs from what was sent; a nil resource does not exist.
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

// compared returns the resources that may differ from what was sent, with nil
// for those that do not exist.
func (s *Server) compared(w *watch) map[string]*operatorv1.Resource {
	all := w.checked.IsZero()
	if now := time.Now(); now.Sub(w.checked) >= hostsInterval {
		hosts := s.servingHosts()
		// Only the status of an endpoint depends on its reports.
		all = all || w.kind == tamarackknot.KindEndpoint || !slices.EqualFunc(hosts, w.hosts, sameInForce)
		w.hosts, w.checked = hosts, now
	}
	out := map[string]*operatorv1.Resource{}
	s.cfg.Journal.Read(func(st tamarackknot.State) {
		names, complete := w.changedNames(st)
		all = all || !complete
		w.applied, w.config = st.Applied(), st.ConfigOffset()
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

// changedNames returns the resources that records have changed since the last
// look; complete is false if all must be compared.
func (w *watch) changedNames(st tamarackknot.State) (names []string, complete bool) {
	targets, endpoints, complete := st.ChangedSince(w.applied)
	switch w.kind {
	case tamarackknot.KindModel, tamarackknot.KindAdapter:
		return targets, complete
	case tamarackknot.KindEndpoint:
		return endpoints, complete
	case tamarackknot.KindDeployment, tamarackknot.KindService:
	}
	return nil, st.ConfigOffset() == w.config
}

// sameInForce compares what the condition InForce depends on.
func sameInForce(a, b tamarackknot.Member) bool {
	return a.Host.Name == b.Host.Name && a.ConfigOffset == b.ConfigOffset
}
