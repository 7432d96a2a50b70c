package operator

import (
	"fmt"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
	operatorv1 "tamarackknot.example/tamarackknot/gen/operator/v1"
)

// Condition types and their values.
const (
	conditionInForce     = "InForce"
	conditionWithinLimit = "WithinLimit"
	conditionReady       = "Ready"

	statusTrue    = "True"
	statusFalse   = "False"
	statusUnknown = "Unknown"
)

// reportMaxAge is the maximum age of a report that shows that an endpoint is
// reachable: three report intervals.
const reportMaxAge = 3 * time.Second

// status returns the status of a stored resource: its conditions and replicas.
// It must be called with the state locked; hosts is the result of servingHosts.
func (s *Server) status(st tamarackknot.State, hosts []tamarackknot.Member, r *tamarackknot.Resource) *operatorv1.Status {
	out := &operatorv1.Status{Conditions: []*operatorv1.Condition{inForce(hosts, r.Metadata.Revision)}}
	switch r.Kind {
	case tamarackknot.KindModel, tamarackknot.KindAdapter:
		replicas := st.Replicas(r.Metadata.Name)
		out.Replicas = replicasToWire(replicas)
		target, _ := st.Target(r.Metadata.Name)
		out.Conditions = append(out.Conditions, withinLimit(len(replicas), target.MaxReplicas))
	case tamarackknot.KindEndpoint:
		out.Replicas = replicasToWire(st.EndpointReplicas(r.Metadata.Name))
		out.ReservedMb = st.ReservedMB(r.Metadata.Name)
		out.Conditions = append(out.Conditions, s.endpointReady(r))
	case tamarackknot.KindDeployment, tamarackknot.KindService:
	}
	return out
}

// servingHosts returns the entry hosts on which a revision must be in force.
func (s *Server) servingHosts() []tamarackknot.Member {
	return slices.DeleteFunc(s.cfg.Members.List(), func(m tamarackknot.Member) bool {
		return m.Status == tamarackknot.MemberDead || m.Status == tamarackknot.MemberLeaving
	})
}

// inForce returns the condition that the revision is in force on all hosts.
func inForce(hosts []tamarackknot.Member, revision tamarackknot.Offset) *operatorv1.Condition {
	c := &operatorv1.Condition{Type: conditionInForce, Status: statusTrue, Reason: "AllEntryHosts"}
	behind := 0
	for _, m := range hosts {
		if m.ConfigOffset < revision {
			behind++
			c.Message = fmt.Sprintf("entry host %s has offset %d in force, revision is %d", m.Host.Name, m.ConfigOffset, revision)
		}
	}
	if behind > 0 {
		c.Status, c.Reason = statusFalse, "EntryHostsBehind"
		return c
	}
	c.Message = fmt.Sprintf("in force on %d entry hosts", len(hosts))
	return c
}

func withinLimit(n, limit int) *operatorv1.Condition {
	c := &operatorv1.Condition{
		Type:    conditionWithinLimit,
		Status:  statusTrue,
		Reason:  "WithinMaxReplicas",
		Message: fmt.Sprintf("%d of at most %d replicas are reserved", n, limit),
	}
	if n > limit {
		c.Status, c.Reason = statusFalse, "Unloading"
	}
	return c
}

func (s *Server) endpointReady(r *tamarackknot.Resource) *operatorv1.Condition {
	c := &operatorv1.Condition{Type: conditionReady, Status: statusTrue, Reason: "Reachable"}
	switch {
	case r.Endpoint.Draining:
		c.Status, c.Reason = statusFalse, "Draining"
	case s.cfg.Reports.Unreachable(r.Metadata.Name):
		c.Status, c.Reason = statusFalse, "Unreachable"
	case r.Endpoint.Service != "":
		c.Reason = "NoSign"
		c.Message = "plain services do not report; nothing shows that the endpoint is unreachable"
	default:
		report, ok := s.cfg.Reports.Report(r.Metadata.Name)
		if !ok || time.Since(report.Time) > reportMaxAge {
			c.Status, c.Reason = statusUnknown, "NoRecentReport"
		}
	}
	return c
}

func replicasToWire(in []tamarackknot.Replica) []*operatorv1.Replica {
	out := make([]*operatorv1.Replica, 0, len(in))
	for _, r := range in {
		out = append(out, &operatorv1.Replica{
			Target:   r.Target,
			Endpoint: r.Endpoint,
			Version:  r.Version,
			State:    string(r.State),
			Fence:    int64(r.Fence),
		})
	}
	return out
}
