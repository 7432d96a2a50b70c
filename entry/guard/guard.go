// Package guard builds, for both modes of the daemon, what protects a host against hostile
// callers: the budget of its memory, and the limits of the connections on all its addresses.
package guard

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/admission"
	"tamarackknot.example/tamarackknot/ingress"
)

const (
	// memoryLimitRatio is the fraction of the host's memory that is set as the soft limit of the Go
	// runtime.
	memoryLimitRatio = 0.6
	// reservedDescriptors are left to the process itself and to the platform.
	reservedDescriptors = 200
	// connectionShare and peerShare are the parts of the other descriptors that connections of
	// callers, and of other hosts, take. A request needs another one for its endpoint, and a planner
	// gets a connection from each of 770 hosts: 805 of the 2,875 descriptors of the smallest hosts.
	connectionShare = 0.36
	peerShare       = 0.28
	minConnections  = 16
	// auxiliaryShare is the part of the connections, one in so many, of each address that is not
	// for requests. Callers ask for addresses every few seconds and the platform checks readiness.
	auxiliaryShare = 4
	// The limits of a request at such an address. It has no body and its answer is a few KB, that
	// with the metrics some 100 KB.
	auxiliaryHeadBytes    = 8 << 10
	auxiliaryHeadTimeout  = 10 * time.Second
	auxiliaryTimeout      = 10 * time.Second
	auxiliaryIdleTimeout  = 2 * time.Minute
	maxAuxiliaryHeadBytes = 64 << 10
	bytesPerMB            = 1 << 20
)

// SetMemoryLimit sets the soft limit of the Go runtime on a host with a memory in MB; 0 means that
// it is not known, and leaves the limit as it is.
func SetMemoryLimit(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(memoryMB) * bytesPerMB))
	}
}

// Options are the limits of a host.
type Options struct {
	// MemoryMB is the memory of the host, 0 if it is not known. HeldMB is what of it is held for
	// callers and other hosts; 0 derives it.
	MemoryMB, HeldMB int
	// Descriptors is the number of descriptors of the host; 0 means that of the process.
	Descriptors int
	// MaxConnections limits the open connections on all addresses but that for other hosts; 0
	// derives it from the descriptors.
	MaxConnections int
	// BodyTimeout is how long nothing may arrive of a body, and AnswerTimeout how long a caller may
	// read nothing of an answer; 0 means 10 s.
	BodyTimeout, AnswerTimeout time.Duration
}

// Guard protects a host.
type Guard struct {
	Budget   *admission.Budget
	Shedding *ingress.Shedding
	options  Options
}

// New returns a Guard. It logs the limits.
func New(o Options, registry metrics.Registry, logger *log.Logger) *Guard {
	held := int64(o.HeldMB) * bytesPerMB
	if held == 0 {
		held = admission.BytesOfHost(o.MemoryMB)
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = share(o, connectionShare)
	}
	b := admission.New(admission.Config{Bytes: held, Connections: o.MaxConnections}, time.Now())
	logger.Info("limits for callers", "memoryMB", o.MemoryMB, "heldBytes", held, "connections", o.MaxConnections)
	return &Guard{Budget: b, Shedding: ingress.NewShedding(b, registry, logger), options: o}
}

// share returns a part of the descriptors that are not reserved.
func share(o Options, part float64) int {
	return max(int(part*float64(descriptors(o.Descriptors)-reservedDescriptors)), minConnections)
}

// descriptors returns the number of descriptors that the process may open.
func descriptors(configured int) int {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil || r.Cur > 1<<20 {
		r.Cur = 1 << 20
	}
	if configured > 0 {
		return min(configured, int(r.Cur))
	}
	return int(r.Cur)
}

// Callers returns the limits of the connections at the callers' address.
func (g *Guard) Callers(limits func() tamarackknot.CallerLimits, refuse func(w http.ResponseWriter, reason string)) *ingress.ConnTimeouts {
	return ingress.NewConnTimeouts(ingress.ConnConfig{
		Limits: limits, Refuse: refuse, AnswerTimeout: g.options.AnswerTimeout, Shedding: g.Shedding,
		Group: g.Budget.Group(admission.GroupConfig{Kind: admission.Connections, Bytes: admission.ConnectionBytes, Shared: true}),
	})
}

// Auxiliary returns the limits of the connections at another address, and sets the timeouts of its
// server.
func (g *Guard) Auxiliary(s *http.Server) *ingress.ConnTimeouts {
	s.ReadTimeout, s.WriteTimeout, s.IdleTimeout = auxiliaryTimeout, auxiliaryTimeout, auxiliaryIdleTimeout
	s.MaxHeaderBytes = maxAuxiliaryHeadBytes
	return ingress.NewConnTimeouts(ingress.ConnConfig{
		Limits: func() tamarackknot.CallerLimits {
			return tamarackknot.CallerLimits{HeaderBytes: auxiliaryHeadBytes, HeaderTimeout: auxiliaryHeadTimeout, IdleTimeout: auxiliaryIdleTimeout}
		},
		AnswerTimeout: g.options.AnswerTimeout, Shedding: g.Shedding, Group: g.auxiliaryGroup(),
	})
}

// auxiliaryGroup returns the group of the connections at an address that is not for requests.
func (g *Guard) auxiliaryGroup() *admission.Group {
	return g.Budget.Group(admission.GroupConfig{
		Kind: admission.Connections, Bytes: admission.ConnectionBytes, Shared: true, Max: max(g.options.MaxConnections/auxiliaryShare, minConnections),
	})
}

// Operators returns the limits of the connections at the operators' address, whose answers may
// last long.
func (g *Guard) Operators() *ingress.ConnTimeouts {
	return ingress.NewConnTimeouts(ingress.ConnConfig{
		Limits:        func() tamarackknot.CallerLimits { return tamarackknot.CallerLimits{} },
		AnswerTimeout: g.options.AnswerTimeout, Shedding: g.Shedding, Group: g.auxiliaryGroup(),
	})
}

// Peers returns the group of the connections of other hosts.
func (g *Guard) Peers() *admission.Group {
	return g.Budget.Group(admission.GroupConfig{Kind: admission.Peers, Bytes: admission.PeerBytes, Max: share(g.options, peerShare)})
}

// ShedPeer records that a connection of another host was closed.
func (g *Guard) ShedPeer() { g.Shedding.Closed(ingress.ReasonPeer) }
