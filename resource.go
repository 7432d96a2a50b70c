package tamarackknot

import "time"

// Kind is a kind of resource.
type Kind string

// The kinds of resources. A resource may refer only to kinds listed before its
// own.
const (
	KindDeployment Kind = "deployment"
	KindModel      Kind = "model"
	KindAdapter    Kind = "adapter"
	KindService    Kind = "service"
	KindEndpoint   Kind = "endpoint"
)

// Kinds returns all kinds, ordered so that each kind comes after those that its
// resources refer to.
func Kinds() []Kind {
	return []Kind{KindDeployment, KindModel, KindAdapter, KindService, KindEndpoint}
}

// Metadata identifies a resource and its version.
type Metadata struct {
	Name string `json:"name"`
	// Generation counts the accepted changes of the spec, from 1.
	Generation int64 `json:"generation"`
	// Revision is the offset of the log record that set the resource; a write
	// contains the revision that it is based on.
	Revision Offset `json:"revision"`
}

// Resource is an object of the operators' API. Only the spec that corresponds to
// Kind is set. A stored Resource is never modified, only replaced.
type Resource struct {
	Kind       Kind            `json:"kind"`
	Metadata   Metadata        `json:"metadata"`
	Deployment *DeploymentSpec `json:"deployment,omitempty"`
	Model      *ModelSpec      `json:"model,omitempty"`
	Adapter    *AdapterSpec    `json:"adapter,omitempty"`
	Service    *ServiceSpec    `json:"service,omitempty"`
	Endpoint   *EndpointSpec   `json:"endpoint,omitempty"`
}

// DeploymentSpec contains the settings that the models, adapters and endpoints
// of one deployment share.
type DeploymentSpec struct {
	// Priority is from 0 (lowest) to 9.
	Priority int `json:"priority"`
	// ColdStartWeight is from 0 (minimise idle accelerator hours) to 1 (minimise
	// the tail latency of cold starts).
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
	// MaxReplicas is the maximum number of endpoints on which the model is
	// loaded at the same time.
	MaxReplicas int `json:"maxReplicas"`
	// Priority is from 0 (lowest) to 9.
	Priority int `json:"priority"`
}

// AdapterSpec describes an adapter, which is loaded on top of its base model.
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
	// RepeatableMethods are the HTTP methods whose requests may be repeated,
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
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int `json:"slots"`
	// Fencing says that the endpoint refuses an order whose fencing token is
	// lower than one that it has received for the same target.
	Fencing bool `json:"fencing"`
	// Service is the plain service that the endpoint belongs to; empty for a
	// model engine.
	Service string `json:"service"`
	// Draining excludes the endpoint from routing and placement.
	Draining bool `json:"draining"`
}

// Target is a model or adapter with the settings that routing and placement
// use.
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

// Replica is the reservation of a replica of a target and of its memory on an
// endpoint, from the accepted claim to the accepted release.
type Replica struct {
	Target   string `json:"target"`
	Endpoint string `json:"endpoint"`
	// Base is the base model of an adapter at the time of the claim, empty for
	// a model. It stays set after the adapter is removed.
	Base     string       `json:"base,omitempty"`
	Version  string       `json:"version"`
	MemoryMB int64        `json:"memoryMB"`
	State    ReplicaState `json:"state"`
	// Fence is the fencing token: the offset of the claim, unload or takeover
	// record that last authorised a process to send orders.
	Fence Offset `json:"fence"`
	// Issuer and Incarnation identify the process that may send orders.
	Issuer      string `json:"issuer"`
	Incarnation string `json:"incarnation"`
	// Since is the State.Time at the last change of the state.
	Since time.Time `json:"since"`
}

// Process identifies one run of an entry daemon.
type Process struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}
