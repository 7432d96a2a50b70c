package commands

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	operatorv1 "tamarackknot.example/tamarackknot/gen/operator/v1"
)

func (a *app) json() bool { return a.settings.Output == "json" }

func (a *app) printJSON(m proto.Message) error {
	data, err := protojson.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(a.out, string(data))
	return err
}

// table prints rows of tab-separated cells in aligned columns.
func (a *app) table(rows []string) error {
	w := tabwriter.NewWriter(a.out, 0, 8, 2, ' ', 0)
	for _, r := range rows {
		if _, err := fmt.Fprintln(w, r); err != nil {
			return err
		}
	}
	return w.Flush()
}

func (a *app) printApplied(list []applied) error {
	if a.json() {
		out := &operatorv1.ListResponse{}
		for _, r := range list {
			out.Resources = append(out.Resources, r.Resource)
		}
		return a.printJSON(out)
	}
	unchanged := 0
	var rows []string
	for _, r := range list {
		if !r.Changed {
			unchanged++
			continue
		}
		rows = append(rows, fmt.Sprintf("%s/%s\trevision %d\taccepted",
			r.Resource.GetKind(), r.Resource.GetMetadata().GetName(), r.Resource.GetMetadata().GetRevision()))
	}
	rows = append(rows, fmt.Sprintf("%d accepted, %d unchanged", len(list)-unchanged, unchanged))
	return a.table(rows)
}

const resourceHeader = "KIND\tNAME\tGENERATION\tREVISION\tREPLICAS\tCONDITIONS"

func resourceRow(r *operatorv1.Resource) string {
	var conditions []string
	for _, c := range r.GetStatus().GetConditions() {
		s := c.GetType() + "=" + c.GetStatus()
		if c.GetStatus() != "True" {
			s += "(" + c.GetReason() + ")"
		}
		conditions = append(conditions, s)
	}
	replicas := "-"
	if r.GetModel() != nil || r.GetAdapter() != nil || r.GetEndpoint() != nil {
		replicas = fmt.Sprint(len(r.GetStatus().GetReplicas()))
	}
	return fmt.Sprintf("%s\t%s\t%d\t%d\t%s\t%s", r.GetKind(), r.GetMetadata().GetName(),
		r.GetMetadata().GetGeneration(), r.GetMetadata().GetRevision(), replicas, strings.Join(conditions, " "))
}

func (a *app) printResource(r *operatorv1.Resource) error {
	if a.json() {
		return a.printJSON(r)
	}
	if err := a.table([]string{resourceHeader, resourceRow(r)}); err != nil {
		return err
	}
	rows := []string{"\nTARGET\tENDPOINT\tVERSION\tSTATE\tFENCE"}
	for _, x := range r.GetStatus().GetReplicas() {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d", x.GetTarget(), x.GetEndpoint(), x.GetVersion(), x.GetState(), x.GetFence()))
	}
	if len(rows) == 1 {
		return nil
	}
	return a.table(rows)
}

func (a *app) printList(resp *operatorv1.ListResponse) error {
	if a.json() {
		return a.printJSON(resp)
	}
	rows := []string{resourceHeader}
	for _, r := range resp.GetResources() {
		rows = append(rows, resourceRow(r))
	}
	return a.table(rows)
}

func (a *app) printStatus(resp *operatorv1.StatusResponse) error {
	if a.json() {
		return a.printJSON(resp)
	}
	rows := []string{"ENTRY HOST\tADDRESS\tFAILURE DOMAIN\tSTATUS\tAPPLIED\tCONFIG IN FORCE"}
	for _, h := range resp.GetEntryHosts() {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d", h.GetName(), h.GetAddress(),
			h.GetFailureDomain(), h.GetStatus(), h.GetAppliedOffset(), h.GetConfigOffset()))
	}
	rows = append(rows, fmt.Sprintf("newest configuration offset: %d, state complete: %t", resp.GetConfigOffset(), resp.GetReady()))
	return a.table(rows)
}

func (a *app) printEvent(e *operatorv1.WatchResponse) error {
	if a.json() {
		return a.printJSON(e)
	}
	verb := "set"
	if e.GetType() == operatorv1.WatchResponse_TYPE_DELETED {
		verb = "deleted"
	}
	_, err := fmt.Fprintln(a.out, verb, strings.ReplaceAll(resourceRow(e.GetResource()), "\t", " "))
	return err
}
