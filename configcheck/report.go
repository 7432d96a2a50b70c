// Package configcheck finds what is wrong with a configuration, what can never take effect in
// it, and what changes with it.
package configcheck

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// Finding is something that is wrong with a configuration.
type Finding struct {
	// Path names the field, or the entry if it is wrong as a whole.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// ChangeKind is what a change does.
type ChangeKind string

// The kinds of changes.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeLowered ChangeKind = "lowered"
	ChangeRaised  ChangeKind = "raised"
	ChangeOther   ChangeKind = "changed"
	// ChangeAccess: callers lose access.
	ChangeAccess ChangeKind = "access lost"
	// ChangeLoad: engines have to load a model before requests can be served.
	ChangeLoad ChangeKind = "needs load"
)

// Change is a difference between two configurations.
type Change struct {
	Kind ChangeKind `json:"kind"`
	What string     `json:"what"`
}

// Report is the result of a check. Errors keep the configuration, or a part of it, from taking
// effect; warnings name what probably is not meant.
type Report struct {
	File     string    `json:"file"`
	Errors   []Finding `json:"errors"`
	Warnings []Finding `json:"warnings"`
	// Compared says that Changes are those against another configuration.
	Compared bool     `json:"compared"`
	Changes  []Change `json:"changes"`
}

// WriteText writes the report as text.
func (r Report) WriteText(w io.Writer) error {
	for _, group := range []struct {
		name     string
		findings []Finding
	}{{"error", r.Errors}, {"warning", r.Warnings}} {
		for _, f := range group.findings {
			if _, err := fmt.Fprintf(w, "%s: %s: %s\n", group.name, f.Path, f.Message); err != nil {
				return errors.Wrap(err, "write report")
			}
		}
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintf(w, "%s: %s\n", c.Kind, c.What); err != nil {
			return errors.Wrap(err, "write report")
		}
	}
	summary := fmt.Sprintf("%s: errors %d, warnings %d", r.File, len(r.Errors), len(r.Warnings))
	if r.Compared {
		summary += fmt.Sprintf(", changes %d", len(r.Changes))
	}
	_, err := fmt.Fprintln(w, summary)
	return errors.Wrap(err, "write report")
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	for _, list := range []*[]Finding{&r.Errors, &r.Warnings} {
		if *list == nil {
			*list = []Finding{}
		}
	}
	if r.Changes == nil {
		r.Changes = []Change{}
	}
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(r), "write report")
}
