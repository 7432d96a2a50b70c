package tamarackknot

import (
	"context"
	"encoding/json"
	"time"
)

// Role is the role of a listed host.
type Role string

// The roles in the platform's host list.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// Host is an entry of the platform's host list, which may be outdated.
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

// HostList provides the platform's list of live and leaving hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// PeerHandler answers a message from another entry host.
type PeerHandler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Peers exchanges messages between entry hosts. Hosts are identified by their
// names in the host list.
type Peers interface {
	// Call sends a request and waits for the result until ctx ends.
	Call(ctx context.Context, host, method string, params, result any) error
	// Notify sends a message that gets no response.
	Notify(ctx context.Context, host, method string, params any) error
	// Handle registers the handler of a method; it must be called before
	// messages arrive.
	Handle(method string, h PeerHandler)
}

// MemberStatus is the status of an entry host as another one sees it.
type MemberStatus string

// The states of a member. Callers are given the addresses of alive members
// only.
const (
	MemberAlive   MemberStatus = "alive"
	MemberStale   MemberStatus = "stale"   // reaches neither the log nor a peer that is at least as up to date
	MemberLeaving MemberStatus = "leaving" // draining, still serving
	MemberSuspect MemberStatus = "suspect" // no recent heartbeat
	MemberDead    MemberStatus = "dead"
)

// Member is an entry host as membership knows it.
type Member struct {
	Host        Host
	Incarnation string
	Status      MemberStatus
	// Applied is the newest log offset that the member has applied.
	Applied Offset
	// ConfigOffset is the newest configuration in force on the member.
	ConfigOffset Offset
	// Idle says that a leaving member has no outstanding orders.
	Idle bool
}

// EndpointSign reports that an endpoint is leaving or unreachable.
type EndpointSign struct {
	Endpoint string    `json:"endpoint"`
	Reason   string    `json:"reason"`
	Until    time.Time `json:"until"` // the sign expires at this time
}

// Members is this process's view of the entry hosts.
type Members interface {
	// Self returns this process.
	Self() Member
	// List returns all known members, this one included, ordered by name.
	List() []Member
	// Planner returns the entry host that plans placement for a deployment.
	Planner(deployment string) string
	// Ended reports whether a process is known to have ended and since when;
	// its orders may still be in transit for a while after that.
	Ended(p Process) (since time.Time, ended bool)
	// Broadcast sends a sign to the other entry hosts.
	Broadcast(s EndpointSign)
}
