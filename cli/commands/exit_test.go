package commands

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	operatorv1 "tamarackknot.example/tamarackknot/gen/operator/v1"
	"tamarackknot.example/tamarackknot/gen/operator/v1/operatorv1connect"
)

// apiStub answers writes with a fixed error and counts them.
type apiStub struct {
	operatorv1connect.UnimplementedResourceServiceHandler
	writes  int
	err     error
	hangUp  bool
	inForce string
}

func (s *apiStub) write() error {
	s.writes++
	if s.hangUp {
		panic(http.ErrAbortHandler)
	}
	return s.err
}

func (s *apiStub) resource() *operatorv1.Resource {
	return &operatorv1.Resource{
		Kind:     "deployment",
		Metadata: &operatorv1.Metadata{Name: "periyar", Revision: 3},
		Status:   &operatorv1.Status{Conditions: []*operatorv1.Condition{{Type: "InForce", Status: s.inForce}}},
	}
}

func (s *apiStub) Apply(context.Context, *connect.Request[operatorv1.ApplyRequest]) (*connect.Response[operatorv1.ApplyResponse], error) {
	return connect.NewResponse(&operatorv1.ApplyResponse{Resource: s.resource(), Changed: true}), s.write()
}

func (s *apiStub) Delete(context.Context, *connect.Request[operatorv1.DeleteRequest]) (*connect.Response[operatorv1.DeleteResponse], error) {
	return connect.NewResponse(&operatorv1.DeleteResponse{Revision: 4}), s.write()
}

func (s *apiStub) Get(_ context.Context, req *connect.Request[operatorv1.GetRequest]) (*connect.Response[operatorv1.GetResponse], error) {
	if req.Msg.GetName() != "periyar" {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("does not exist"))
	}
	return connect.NewResponse(&operatorv1.GetResponse{Resource: s.resource()}), nil
}

func (s *apiStub) List(context.Context, *connect.Request[operatorv1.ListRequest]) (*connect.Response[operatorv1.ListResponse], error) {
	return connect.NewResponse(&operatorv1.ListResponse{Resources: []*operatorv1.Resource{s.resource()}}), nil
}

// Guards against a script being told that a change did not happen when it may
// have, and against a write repeated at a second entry host in that case.
func TestExitCodes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "one.yaml")
	require.NoError(t, os.WriteFile(file, []byte("kind: deployment\nmetadata: {name: periyar}\nspec: {priority: 1}\n"), 0o600))
	apply := "apply --file " + file
	fails := func(code connect.Code) *apiStub { return &apiStub{err: connect.NewError(code, errors.New("refused"))} }
	for name, c := range map[string]struct {
		args          string
		first         *apiStub
		exit          ExitCode
		second        int // writes that reach the second server
		stdout, error string
	}{
		"done":              {args: apply, first: &apiStub{}, exit: ExitOK, stdout: "1 accepted, 0 unchanged"},
		"delete as JSON":    {args: "delete deployment periyar --output json", first: &apiStub{}, exit: ExitOK, stdout: `"revision":`},
		"rejected":          {args: apply, first: fails(connect.CodeInvalidArgument), exit: ExitFailed, error: "document 1"},
		"no address":        {args: "watch model --servers ,", first: &apiStub{}, exit: ExitUsage, error: "--servers"},
		"no file":           {args: "apply", first: &apiStub{}, exit: ExitUsage, error: "--file"},
		"bad timeout":       {args: "status --timeout 0", first: &apiStub{}, exit: ExitUsage, error: "--timeout"},
		"timeout no number": {args: "status --timeout abc", first: &apiStub{}, exit: ExitUsage, error: `--timeout: "abc"`},
		"bad revision":      {args: "delete model a --revision x", first: &apiStub{}, exit: ExitUsage, error: "--revision"},
		"conflict":          {args: apply, first: fails(connect.CodeAborted), exit: ExitConflict, error: "0 of 1 resources"},
		"next server":       {args: apply, first: fails(connect.CodeUnavailable), exit: ExitOK, second: 1},
		"unknown":           {args: apply, first: fails(connect.CodeUnknown), exit: ExitUnknown, error: "outcome is unknown"},
		"broken connection": {args: apply, first: &apiStub{hangUp: true}, exit: ExitUnknown},
		"wait":              {args: apply + " --wait --timeout 1", first: &apiStub{inForce: "False"}, exit: ExitTimeout, error: "InForce"},
		"not found":         {args: "delete model no-such-model", first: &apiStub{}, exit: ExitNotFound},
		"read":              {args: "status", first: &apiStub{}, exit: ExitFailed, error: "unimplemented"},
	} {
		t.Run(name, func(t *testing.T) {
			second := &apiStub{}
			var servers []string
			for _, s := range []*apiStub{c.first, second} {
				_, handler := operatorv1connect.NewResourceServiceHandler(s)
				srv := httptest.NewServer(handler)
				defer srv.Close()
				servers = append(servers, srv.URL)
			}
			t.Setenv("TAMARACKCTL_SERVERS", strings.Join(servers, ","))
			if c.first.inForce == "" {
				c.first.inForce = "True"
			}
			var stdout, stderr bytes.Buffer
			require.Equal(t, c.exit, Run(strings.Fields(c.args), &stdout, &stderr), stderr.String())
			require.Contains(t, stdout.String(), c.stdout)
			require.Contains(t, stderr.String(), c.error)
			require.Equal(t, c.second, second.writes)
		})
	}

	t.Run("every server unavailable", func(t *testing.T) {
		_, handler := operatorv1connect.NewResourceServiceHandler(fails(connect.CodeUnavailable))
		srv := httptest.NewServer(handler)
		defer srv.Close()
		require.Equal(t, ExitUnavailable, Run([]string{"--servers", srv.URL, "apply", "--file", file}, &bytes.Buffer{}, &bytes.Buffer{}))
	})
}
