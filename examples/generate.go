//go:build ignore

// Command generate writes the example resources of both deployments. Run it in
// the root of the repository with: go run examples/generate.go
//
// The endpoints match the tamarackstandin command line in the header of each file.
// TestExamplesMatchCommandLine in standin/commands compares the two.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml"

	"tamarackknot.example/tamarackknot"
)

type deployment struct {
	name     string
	spec     tamarackknot.DeploymentSpec
	domains  []string
	engines  endpoints
	services endpoints
	// service is the name of the plain service that the endpoints in services
	// belong to.
	service     string
	serviceSpec tamarackknot.ServiceSpec
	models      int
	modelPrefix string
	// sizesMB are the sizes of the models, assigned round-robin.
	sizesMB       []int64
	adapters      int
	adapterPrefix string
	adapterMB     []int64
}

type endpoints struct {
	name     string
	count    int
	port     int
	memoryMB int64
	slots    int
}

type document struct {
	Kind     tamarackknot.Kind `json:"kind"`
	Metadata metadata          `json:"metadata"`
	Spec     any               `json:"spec"`
}

type metadata struct {
	Name string `json:"name"`
}

func main() {
	write(deployment{
		name:          "periyar",
		spec:          tamarackknot.DeploymentSpec{Priority: 5, ColdStartWeight: 0.8, LoadsPerSecond: 4, LoadsAtOnce: 4},
		domains:       []string{"kochi-1", "kochi-2", "kochi-3"},
		engines:       endpoints{name: "periyar-flow", count: 20, port: 9101, memoryMB: 81920, slots: 8},
		services:      endpoints{name: "periyar-app", count: 3, port: 9131, slots: 32},
		service:       "periyar-application",
		serviceSpec:   tamarackknot.ServiceSpec{Deployment: "periyar", Prefix: "application", RepeatableMethods: []string{"GET", "HEAD", "PUT", "DELETE"}},
		models:        100,
		modelPrefix:   "flow",
		sizesMB:       []int64{14336, 16384, 24576, 30720, 40960, 61440},
		adapters:      90,
		adapterPrefix: "flow-adapter",
		adapterMB:     []int64{192, 384, 768},
	})
	write(deployment{
		name:          "sotfelagid",
		spec:          tamarackknot.DeploymentSpec{Priority: 5, ColdStartWeight: 0.2, LoadsPerSecond: 4, LoadsAtOnce: 4},
		domains:       []string{"sudvestur-1", "sudvestur-2", "sudvestur-3"},
		engines:       endpoints{name: "sotfelagid-advice", count: 10, port: 9201, memoryMB: 49152, slots: 8},
		services:      endpoints{name: "sotfelagid-booking", count: 3, port: 9231, slots: 32},
		service:       "sotfelagid-booking",
		serviceSpec:   tamarackknot.ServiceSpec{Deployment: "sotfelagid", Prefix: "booking", RepeatableMethods: []string{"GET", "HEAD"}},
		models:        50,
		modelPrefix:   "advice",
		sizesMB:       []int64{8192, 14336, 16384, 24576, 30720},
		adapters:      60,
		adapterPrefix: "advice-adapter",
		adapterMB:     []int64{192, 384},
	})
}

func write(d deployment) {
	var docs []document
	add := func(kind tamarackknot.Kind, name string, spec any) {
		docs = append(docs, document{Kind: kind, Metadata: metadata{Name: name}, Spec: spec})
	}
	add(tamarackknot.KindDeployment, d.name, d.spec)
	for i := range d.models {
		add(tamarackknot.KindModel, fmt.Sprintf("%s-%03d", d.modelPrefix, i+1), tamarackknot.ModelSpec{
			Deployment: d.name, Version: "1", MemoryMB: d.sizesMB[i%len(d.sizesMB)], MaxReplicas: 1 + i%3, Priority: 3 + i%5,
		})
	}
	for i := range d.adapters {
		// All adapters belong to the first third of the models.
		model := fmt.Sprintf("%s-%03d", d.modelPrefix, 1+i%(d.models/3))
		add(tamarackknot.KindAdapter, fmt.Sprintf("%s-%03d", d.adapterPrefix, i+1), tamarackknot.AdapterSpec{
			Deployment: d.name, Model: model, Version: "1", MemoryMB: d.adapterMB[i%len(d.adapterMB)], MaxReplicas: 1 + i%2,
		})
	}
	add(tamarackknot.KindService, d.service, d.serviceSpec)
	endpoint := func(g endpoints, i int) tamarackknot.EndpointSpec {
		return tamarackknot.EndpointSpec{
			Deployment: d.name, Address: fmt.Sprintf("127.0.0.1:%d", g.port+i), FailureDomain: d.domains[i%len(d.domains)],
			MemoryMB: g.memoryMB, Slots: g.slots,
		}
	}
	for i := range d.engines.count {
		spec := endpoint(d.engines, i)
		spec.Fencing = i%2 == 1 // fencing=0.5 in the command line
		add(tamarackknot.KindEndpoint, fmt.Sprintf("%s-%02d", d.engines.name, i+1), spec)
	}
	for i := range d.services.count {
		spec := endpoint(d.services, i)
		spec.Service = d.service
		add(tamarackknot.KindEndpoint, fmt.Sprintf("%s-%02d", d.services.name, i+1), spec)
	}
	domains := strings.Join(d.domains, "+")
	var b bytes.Buffer
	fmt.Fprintf(&b, "# Written by examples/generate.go; the endpoints are those of this command line:\n")
	fmt.Fprintf(&b, "# tamarackstandin --engines name=%s,deployment=%s,count=%d,port=%d,memoryMB=%d,slots=%d,queue=4,fencing=0.5,domains=%s",
		d.engines.name, d.name, d.engines.count, d.engines.port, d.engines.memoryMB, d.engines.slots, domains)
	fmt.Fprintf(&b, " --services name=%s,deployment=%s,count=%d,port=%d,slots=%d,domains=%s\n",
		d.services.name, d.name, d.services.count, d.services.port, d.services.slots, domains)
	for i, doc := range docs {
		if i > 0 {
			b.WriteString("---\n")
		}
		b.Write(encode(doc))
	}
	if err := os.WriteFile("examples/"+d.name+".yaml", b.Bytes(), 0o644); err != nil {
		panic(err)
	}
}

// encode formats a resource as YAML without the fields of its spec that are empty
// or false. The field fencing is always written.
func encode(doc document) []byte {
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	var all yaml.MapSlice
	if err := yaml.UnmarshalWithOptions(data, &all, yaml.UseOrderedMap()); err != nil {
		panic(err)
	}
	for i, item := range all {
		spec, ok := item.Value.(yaml.MapSlice)
		if !ok || item.Key != "spec" {
			continue
		}
		var kept yaml.MapSlice
		for _, field := range spec {
			if field.Value != "" && (field.Value != false || field.Key == "fencing") {
				kept = append(kept, field)
			}
		}
		all[i].Value = kept
	}
	out, err := yaml.Marshal(all)
	if err != nil {
		panic(err)
	}
	return out
}
