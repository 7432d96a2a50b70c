// Package operator serves the resource API, through which operators change and
// watch the configuration.
package operator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"tamarackknot.example/tamarackknot"
	operatorv1 "tamarackknot.example/tamarackknot/gen/operator/v1"
	"tamarackknot.example/tamarackknot/gen/operator/v1/operatorv1connect"
	"tamarackknot.example/tamarackknot/ledger"
)

// proposeTimeout limits a write whose caller set no deadline or a later one.
// Configuration must be in force on all entry hosts within 11 s.
const proposeTimeout = 10 * time.Second

// Config configures a Server.
type Config struct {
	Journal tamarackknot.Journal
	Members tamarackknot.Members
	Reports tamarackknot.Reports
	Log     *log.Logger
	Metrics metrics.Registry
}

// Server implements the resource API.
type Server struct {
	cfg Config
}

var _ operatorv1connect.ResourceServiceHandler = (*Server)(nil)

// New returns a Server.
func New(cfg Config) *Server {
	return &Server{cfg: cfg}
}

// Handler returns the HTTP handler of the API; it answers Connect, gRPC-Web
// and JSON over HTTP/1.1.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(operatorv1connect.NewResourceServiceHandler(s))
	return mux
}

// Apply creates or changes a resource. It returns after the change has been
// read back from the log.
func (s *Server) Apply(ctx context.Context, req *connect.Request[operatorv1.ApplyRequest]) (*connect.Response[operatorv1.ApplyResponse], error) {
	r, err := FromWire(req.Msg.GetResource())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := ledger.Validate(r); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := s.checkReady(); err != nil {
		return nil, err
	}
	basedOn := r.Metadata.Revision
	if stored := s.resource(r.Kind, r.Metadata.Name); stored != nil &&
		stored.GetMetadata().GetRevision() == int64(basedOn) && sameSpec(stored, toWire(&r)) {
		return connect.NewResponse(&operatorv1.ApplyResponse{Resource: stored}), nil
	}
	out, err := s.propose(ctx, tamarackknot.Change{Apply: &tamarackknot.Apply{Resource: r, BasedOn: basedOn}})
	if err != nil {
		return nil, err
	}
	s.logOutcome("apply", r.Kind, r.Metadata.Name, basedOn, out)
	if !out.Accepted {
		return nil, rejection(r.Kind, r.Metadata.Name, basedOn, out)
	}
	resp := s.resource(r.Kind, r.Metadata.Name)
	if resp.GetMetadata().GetRevision() != int64(out.Offset) {
		// Another write has replaced or removed the resource since. The response
		// describes this write, so it has no status.
		r.Metadata.Revision = out.Offset
		resp = toWire(&r)
	}
	return connect.NewResponse(&operatorv1.ApplyResponse{Resource: resp, Changed: true}), nil
}

// Get returns a resource with its status.
func (s *Server) Get(_ context.Context, req *connect.Request[operatorv1.GetRequest]) (*connect.Response[operatorv1.GetResponse], error) {
	kind, err := parseKind(req.Msg.GetKind())
	if err != nil {
		return nil, err
	}
	if err := s.checkReady(); err != nil {
		return nil, err
	}
	r := s.resource(kind, req.Msg.GetName())
	if r == nil {
		return nil, notFound(kind, req.Msg.GetName())
	}
	return connect.NewResponse(&operatorv1.GetResponse{Resource: r}), nil
}

// List returns the resources of a kind, or of all kinds.
func (s *Server) List(_ context.Context, req *connect.Request[operatorv1.ListRequest]) (*connect.Response[operatorv1.ListResponse], error) {
	kinds := tamarackknot.Kinds()
	if req.Msg.GetKind() != "" {
		kind, err := parseKind(req.Msg.GetKind())
		if err != nil {
			return nil, err
		}
		kinds = []tamarackknot.Kind{kind}
	}
	if err := s.checkReady(); err != nil {
		return nil, err
	}
	resp := &operatorv1.ListResponse{}
	hosts := s.servingHosts()
	s.cfg.Journal.Read(func(st tamarackknot.State) {
		resp.ConfigOffset = int64(st.ConfigOffset())
		for _, kind := range kinds {
			for _, r := range st.Resources(kind) {
				if d := req.Msg.GetDeployment(); d != "" && deploymentOf(r) != d {
					continue
				}
				resp.Resources = append(resp.Resources, s.describe(st, hosts, r))
			}
		}
	})
	return connect.NewResponse(resp), nil
}

// Delete removes a resource if its revision is the given one.
func (s *Server) Delete(ctx context.Context, req *connect.Request[operatorv1.DeleteRequest]) (*connect.Response[operatorv1.DeleteResponse], error) {
	kind, err := parseKind(req.Msg.GetKind())
	if err != nil {
		return nil, err
	}
	name, basedOn := req.Msg.GetName(), tamarackknot.Offset(req.Msg.GetRevision())
	if err := s.checkReady(); err != nil {
		return nil, err
	}
	if s.resource(kind, name) == nil {
		return nil, notFound(kind, name)
	}
	out, err := s.propose(ctx, tamarackknot.Change{Remove: &tamarackknot.Remove{Kind: kind, Name: name, BasedOn: basedOn}})
	if err != nil {
		return nil, err
	}
	s.logOutcome("delete", kind, name, basedOn, out)
	if !out.Accepted {
		return nil, rejection(kind, name, basedOn, out)
	}
	return connect.NewResponse(&operatorv1.DeleteResponse{Revision: int64(out.Offset)}), nil
}

// Status returns the entry hosts with the configuration offset in force on each.
func (s *Server) Status(context.Context, *connect.Request[operatorv1.StatusRequest]) (*connect.Response[operatorv1.StatusResponse], error) {
	js := s.cfg.Journal.Status()
	resp := &operatorv1.StatusResponse{ConfigOffset: int64(js.ConfigOffset), Ready: js.Ready}
	for _, m := range s.cfg.Members.List() {
		resp.EntryHosts = append(resp.EntryHosts, &operatorv1.EntryHost{
			Name:          m.Host.Name,
			Address:       m.Host.Address,
			FailureDomain: m.Host.FailureDomain,
			Status:        string(m.Status),
			AppliedOffset: int64(m.Applied),
			ConfigOffset:  int64(m.ConfigOffset),
		})
	}
	return connect.NewResponse(resp), nil
}

// resource returns a resource with its status, or nil if it does not exist.
func (s *Server) resource(kind tamarackknot.Kind, name string) *operatorv1.Resource {
	var out *operatorv1.Resource
	hosts := s.servingHosts()
	s.cfg.Journal.Read(func(st tamarackknot.State) {
		if r, ok := st.Resource(kind, name); ok {
			out = s.describe(st, hosts, r)
		}
	})
	return out
}

// describe returns a resource with its status in the form of the API.
func (s *Server) describe(st tamarackknot.State, hosts []tamarackknot.Member, r *tamarackknot.Resource) *operatorv1.Resource {
	out := toWire(r)
	out.Status = s.status(st, hosts, r)
	return out
}

// checkReady returns an error while the state of this host is incomplete, since
// the host would report existing resources as missing.
func (s *Server) checkReady() error {
	if s.cfg.Journal.Status().Ready {
		return nil
	}
	return connect.NewError(connect.CodeUnavailable, tamarackknot.ErrNotReady)
}

func (s *Server) propose(ctx context.Context, c tamarackknot.Change) (tamarackknot.Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(proposeTimeout))
	defer cancel()
	out, err := s.cfg.Journal.Propose(ctx, c)
	switch {
	case err == nil:
		return out, nil
	case errors.Is(err, tamarackknot.ErrNotAppended), errors.Is(err, tamarackknot.ErrNotReady):
		return out, connect.NewError(connect.CodeUnavailable, err)
	default:
		return out, connect.NewError(connect.CodeUnknown, err)
	}
}

func (s *Server) logOutcome(op string, kind tamarackknot.Kind, name string, basedOn tamarackknot.Offset, out tamarackknot.Outcome) {
	s.cfg.Log.Info("configuration", "op", op, "kind", kind, "name", name, "basedOn", basedOn,
		"accepted", out.Accepted, "offset", out.Offset, "reason", out.Reason, "current", out.Current)
}

// rejection converts the outcome of a rejected proposal into an API error.
func rejection(kind tamarackknot.Kind, name string, basedOn tamarackknot.Offset, out tamarackknot.Outcome) error {
	switch out.Reason {
	case tamarackknot.ReasonConflict:
		return connect.NewError(connect.CodeAborted, fmt.Errorf(
			"%s %q: the write is based on revision %d, the stored revision is %d", kind, name, basedOn, out.Current))
	case tamarackknot.ReasonNotFound:
		return notFound(kind, name)
	case tamarackknot.ReasonInvalid:
		return connect.NewError(connect.CodeInvalidArgument, errors.New(out.Detail))
	default:
		return connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("%s %q: %s: %s", kind, name, out.Reason, out.Detail))
	}
}

func notFound(kind tamarackknot.Kind, name string) error {
	return connect.NewError(connect.CodeNotFound, fmt.Errorf("%s %q does not exist", kind, name))
}

func parseKind(s string) (tamarackknot.Kind, error) {
	for _, k := range tamarackknot.Kinds() {
		if s == string(k) {
			return k, nil
		}
	}
	return "", connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("kind: %q is not one of %v", s, tamarackknot.Kinds()))
}

func sameSpec(a, b *operatorv1.Resource) bool {
	x, y := proto.CloneOf(a), proto.CloneOf(b)
	x.Metadata, x.Status = nil, nil
	y.Metadata, y.Status = nil, nil
	return proto.Equal(x, y)
}

func deploymentOf(r *tamarackknot.Resource) string {
	switch r.Kind {
	case tamarackknot.KindModel:
		return r.Model.Deployment
	case tamarackknot.KindAdapter:
		return r.Adapter.Deployment
	case tamarackknot.KindService:
		return r.Service.Deployment
	case tamarackknot.KindEndpoint:
		return r.Endpoint.Deployment
	default:
		return r.Metadata.Name
	}
}
