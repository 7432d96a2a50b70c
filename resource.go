package tamarackknot

import "time"

// Kind names a kind of resource.
type Kind string

// The kinds of resources, in the order in which they may refer to each other.
const (
	KindDeployment Kind = "deployment"
	KindModel      Kind = "model"
	KindAdapter    Kind = "adapter"
	KindService    Kind = "service"
	KindEndpoint   Kind = "endpoint"
)

// Kinds lists all kinds so that a resource comes after those it refers to.
func Kinds() []Kind {
	return []Kind{KindDeployment, KindModel, KindAdapter, KindService, KindEndpoint}
}

// Metadata identifies one resource and one state of it.
type Metadata struct {
	Name string `json:"name"`
	// Generation counts the accepted changes of the spec, from 1.
	Generation int64 `json:"generation"`
	// Revision is the offset of the log record that set the resource; a write
	// names the revision it was based on.
	Revision Offset `json:"revision"`
}

// Resource is one object of the operators' API. Exactly the spec that belongs
// to Kind is set. A stored Resource is never modified, only replaced.
type Resource struct {
	Kind       Kind            `json:"kind"`
	Metadata   Metadata        `json:"metadata"`
	Deployment *DeploymentSpec `json:"deployment,omitempty"`
	Model      *ModelSpec      `json:"model,omitempty"`
	Adapter    *AdapterSpec    `json:"adapter,omitempty"`
	Service    *ServiceSpec    `json:"service,omitempty"`
	Endpoint   *EndpointSpec   `json:"endpoint,omitempty"`
}

// DeploymentSpec holds what the models, adapters and endpoints of one
// deployment share.
type DeploymentSpec struct {
	// Priority is from 0 (lowest) to 9.
	Priority int `json:"priority"`
	// ColdStartWeight is from 0 (save idle accelerator hours) to 1 (save
	// cold-start tail latency).
	ColdStartWeight float64 `json:"coldStartWeight"`
	// LoadsPerSecond is the rate limit of the weight store.
	LoadsPerSecond float64 `json:"loadsPerSecond"`
	// LoadsAtOnce is the number of concurrent loads that the weight store
	// serves at full speed.
	LoadsAtOnce int `json:"loadsAtOnce"`
}

// ModelSpec describes a model that may be served.
type ModelSpec struct {
	Deployment string `json:"deployment"`
	Version    string `json:"version"`
	MemoryMB   int64  `json:"memoryMB"`
	// MaxReplicas bounds the endpoints on which the model is loaded at once.
	MaxReplicas int `json:"maxReplicas"`
	// Priority is from 0 (lowest) to 9.
	Priority int `json:"priority"`
}

// AdapterSpec describes an adapter that is loaded beside its base model.
type AdapterSpec struct {
	Deployment string `json:"deployment"`
	// Model is the name of the base model.
	Model       string `json:"model"`
	Version     string `json:"version"`
	MemoryMB    int64  `json:"memoryMB"`
	MaxReplicas int    `json:"maxReplicas"`
}

// ServiceSpec describes a plain HTTP service.
type ServiceSpec struct {
	Deployment string `json:"deployment"`
	// Prefix is the path segment after /services/.
	Prefix string `json:"prefix"`
	// RepeatableMethods lists the HTTP methods whose requests may be repeated
	// unless the request says otherwise.
	RepeatableMethods []string `json:"repeatableMethods"`
}

// EndpointSpec describes one model engine or one instance of a plain service.
type EndpointSpec struct {
	Deployment string `json:"deployment"`
	// Address is IP:port.
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	// MemoryMB is the accelerator memory for models and adapters.
	MemoryMB int64 `json:"memoryMB"`
	// Slots is the number of requests that the endpoint runs at once.
	Slots int `json:"slots"`
	// Fencing says that the endpoint refuses an order whose fencing number is
	// lower than one it has seen for the same target.
	Fencing bool `json:"fencing"`
	// Service is the plain service that the endpoint belongs to; empty for a
	// model engine.
	Service string `json:"service"`
	// Draining takes the endpoint out of routing and placement.
	Draining bool `json:"draining"`
}

// Target is a model or adapter as routing and placement see it.
type Target struct {
	Name        string
	Deployment  string
	Base        string // base model of an adapter, empty for a model
	Version     string
	MemoryMB    int64
	MaxReplicas int
	Priority    int // an adapter has the priority of its base model
}

// ReplicaState is the state of a reservation on an endpoint.
type ReplicaState string

// A replica counts against limits in every state.
const (
	ReplicaClaimed   ReplicaState = "claimed"
	ReplicaLoaded    ReplicaState = "loaded"
	ReplicaUnloading ReplicaState = "unloading"
)

// Replica is the reservation of a replica slot of a target and of its memory
// on an endpoint, from the accepted claim to the accepted release.
type Replica struct {
	Target   string `json:"target"`
	Endpoint string `json:"endpoint"`
	// Base is the base model of an adapter at the time of the claim, empty for
	// a model. It outlives the removal of the adapter.
	Base     string       `json:"base,omitempty"`
	Version  string       `json:"version"`
	MemoryMB int64        `json:"memoryMB"`
	State    ReplicaState `json:"state"`
	// Fence is the fencing number: the offset of the claim, unload or takeover
	// record that last gave an issuer the right to send orders.
	Fence Offset `json:"fence"`
	// Issuer and Incarnation name the process that may send orders.
	Issuer      string `json:"issuer"`
	Incarnation string `json:"incarnation"`
	// Since is the fold time of the last change of State.
	Since time.Time `json:"since"`
}

// Process names one run of an entry daemon.
type Process struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}
