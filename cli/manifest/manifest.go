// Package manifest reads resources from YAML files.
package manifest

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"google.golang.org/protobuf/encoding/protojson"

	"tamarackknot.example/tamarackknot"
	operatorv1 "tamarackknot.example/tamarackknot/gen/operator/v1"
)

// document is a YAML document of a manifest.
type document struct {
	Kind     string         `yaml:"kind"`
	Metadata metadata       `yaml:"metadata"`
	Spec     map[string]any `yaml:"spec"`
}

type metadata struct {
	Name string `yaml:"name"`
	// Revision is the revision that the change is based on; nil means the stored
	// one.
	Revision *int64 `yaml:"revision"`
}

// Item is a resource read from a manifest.
type Item struct {
	Resource *operatorv1.Resource
	// HasRevision says that the manifest contains the revision that the change
	// is based on.
	HasRevision bool
	// Source is the file and the number of the document, for messages.
	Source string
}

// ReadFile reads all documents of a file; "-" is standard input. The items are
// ordered so that a resource comes after those that it refers to.
func ReadFile(path string) ([]Item, error) {
	if path == "-" {
		return Read(os.Stdin, "standard input")
	}
	f, err := os.Open(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, errors.Wrap(err, "file")
	}
	defer func() { _ = f.Close() }()
	return Read(f, path)
}

// Read reads all documents of a manifest; name is its name in messages. The
// items are ordered as by ReadFile.
func Read(r io.Reader, name string) ([]Item, error) {
	dec := yaml.NewDecoder(r, yaml.DisallowUnknownField())
	var items []Item
	for n := 1; ; n++ {
		var doc document
		err := dec.Decode(&doc)
		if errors.Is(err, io.EOF) {
			break
		}
		source := fmt.Sprintf("%s, document %d", name, n)
		if err != nil {
			return nil, errors.Wrap(err, source)
		}
		if doc.Kind == "" && doc.Metadata.Name == "" && doc.Spec == nil {
			continue
		}
		item, err := parse(doc)
		if err != nil {
			return nil, errors.Wrap(err, source)
		}
		item.Source = source
		items = append(items, item)
	}
	if len(items) == 0 {
		return nil, fmt.Errorf("%s: holds no resource", name)
	}
	sortByReference(items)
	return items, nil
}

func parse(doc document) (Item, error) {
	kinds := tamarackknot.Kinds()
	if !slices.Contains(kinds, tamarackknot.Kind(doc.Kind)) {
		return Item{}, fmt.Errorf("kind: %q is not one of %v", doc.Kind, kinds)
	}
	wire := map[string]any{
		"kind":     doc.Kind,
		"metadata": map[string]any{"name": doc.Metadata.Name},
		doc.Kind:   doc.Spec,
	}
	data, err := json.Marshal(wire)
	if err != nil {
		return Item{}, errors.Wrap(err, "spec")
	}
	r := &operatorv1.Resource{}
	if err := protojson.Unmarshal(data, r); err != nil {
		// protojson prefixes its messages with "proto:" and either a
		// non-breaking or a plain space, chosen at random per build.
		msg := strings.TrimLeft(strings.TrimPrefix(err.Error(), "proto:"), " \u00a0")
		return Item{}, fmt.Errorf("%s %q: spec: %s", doc.Kind, doc.Metadata.Name, msg)
	}
	item := Item{Resource: r}
	if doc.Metadata.Revision != nil {
		item.HasRevision = true
		r.Metadata.Revision = *doc.Metadata.Revision
	}
	return item, nil
}

func sortByReference(items []Item) {
	kinds := tamarackknot.Kinds()
	rank := func(i Item) int {
		return slices.Index(kinds, tamarackknot.Kind(i.Resource.GetKind()))
	}
	slices.SortStableFunc(items, func(a, b Item) int { return rank(a) - rank(b) })
}
