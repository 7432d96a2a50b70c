package locality

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// sharedFactor is how many times the price of its bytes a request has to gain if it is
	// not part of the share that the planner lets leave: the planner sees all hosts, but
	// learns of a shortage up to a second after a host does.
	sharedFactor = 4.0
	// reserve is the fraction of an endpoint's requests that is left to the callers of its
	// own domain, since what other domains run there is known to a host up to half a second
	// late.
	reserve = 0.15
)

// Reason says why a request leaves its failure domain.
type Reason int

// The reasons. ReasonHome is that of a request that stays.
const (
	ReasonHome Reason = iota
	// ReasonAbsent: no endpoint of the domain can serve such requests.
	ReasonAbsent
	// ReasonFull: none of those that can takes the request now.
	ReasonFull
	// ReasonShare: the planner lets a share of such requests leave.
	ReasonShare
	// ReasonGain: what the request gains is worth its bytes.
	ReasonGain
	reasonCount
)

func (r Reason) String() string {
	return [...]string{"home", "absent", "full", "share", "gain"}[r]
}

// Choice is what a host knows when it chooses between its own failure domain and the others.
type Choice struct {
	// Holders says that endpoints of the own domain can serve the request.
	Holders bool
	// Own and Other are the uses, as fractions of the slots, of the least loaded endpoint of
	// the own domain and of all others that takes the request; infinite if there is none.
	Own, Other float64
	// Bytes are those of the request and its answer.
	Bytes float64
	// Slack is the time until the objective, in seconds.
	Slack float64
	// Share is the fraction of such requests that the planner lets leave; Shared says that it
	// is current.
	Share  float64
	Shared bool
	// Ticket is a number from 0 to 1 that is uniform over requests and the same on each host.
	// The requests with the lowest tickets leave.
	Ticket float64
}

// Decide returns whether a request may leave its failure domain, and why.
func (p Price) Decide(c Choice) Reason {
	switch {
	case !c.Holders:
		return ReasonAbsent
	case math.IsInf(c.Own, 1):
		return ReasonFull
	case math.IsInf(c.Other, 1):
		return ReasonHome
	case c.Shared && c.Ticket < c.Share:
		return ReasonShare
	}
	gain := delay(c.Own, c.Slack) - delay(c.Other, c.Slack-crossingSeconds)
	price := p.Crossing(c.Bytes)
	if c.Shared {
		price *= sharedFactor
	}
	// Of requests that gain little only a part leaves: hosts that see the same endpoints
	// would otherwise all send theirs at once.
	if gain > price && c.Ticket < 1-price/gain {
		return ReasonGain
	}
	return ReasonHome
}

// TicketOf returns the ticket of a request by its id.
func TicketOf(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// Reserved reports whether an endpoint that runs a number of requests keeps what is left of
// its room for the callers of its own failure domain.
func Reserved(requests, room int) bool {
	return float64(requests) >= (1-reserve)*float64(room)
}
