package tamarackknot

import (
	"context"
	"encoding/json"
	"time"
)

// Role says what a listed host runs.
type Role string

// The roles in the platform's host list.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// Host is one row of the platform's host list, which lags behind reality.
type Host struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Address is IP:port of the callers' API of an entry host, or of an
	// endpoint.
	Address string `json:"address"`
	// PeerAddress is IP:port for other entry hosts; empty for endpoints.
	PeerAddress   string `json:"peerAddress,omitempty"`
	FailureDomain string `json:"failureDomain"`
	Leaving       bool   `json:"leaving,omitempty"`
}

// HostList is the platform's list of live and leaving hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// PeerHandler answers a message from another entry host.
type PeerHandler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Peers carries messages between entry hosts. Hosts are named as in the host
// list.
type Peers interface {
	// Call sends a request and waits for the result until ctx ends.
	Call(ctx context.Context, host, method string, params, result any) error
	// Notify sends a message without an answer.
	Notify(ctx context.Context, host, method string, params any) error
	// Handle registers a handler; it must be called before messages arrive.
	Handle(method string, h PeerHandler)
}

// MemberStatus is what an entry host knows of another one.
type MemberStatus string

// The states of a member. Only alive members are handed out to callers.
const (
	MemberAlive   MemberStatus = "alive"
	MemberStale   MemberStatus = "stale"   // cut off from log and fresher peers
	MemberLeaving MemberStatus = "leaving" // draining, still serving
	MemberSuspect MemberStatus = "suspect" // not heard of recently
	MemberDead    MemberStatus = "dead"
)

// Member is an entry host as membership knows it.
type Member struct {
	Host        Host
	Incarnation string
	Status      MemberStatus
	// Applied is the newest log offset the member has folded.
	Applied Offset
	// ConfigOffset is the newest configuration in force on the member.
	ConfigOffset Offset
	// Idle says that a leaving member has no order outstanding.
	Idle bool
}

// EndpointSign reports that an endpoint is leaving or unreachable.
type EndpointSign struct {
	Endpoint string    `json:"endpoint"`
	Reason   string    `json:"reason"`
	Until    time.Time `json:"until"` // the sign is void after this deadline
}

// Members is this process's view of the entry hosts.
type Members interface {
	Self() Member
	// List returns all known members, this one included, ordered by name.
	List() []Member
	// Planner returns the entry host that plans placement for a deployment.
	Planner(deployment string) string
	// Ended reports whether a process is known to have ended and since when;
	// its orders may be on their way for a while after that.
	Ended(p Process) (since time.Time, ended bool)
	// Broadcast tells the other entry hosts of an endpoint's sign.
	Broadcast(s EndpointSign)
}
