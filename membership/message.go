package membership

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"tamarackknot.example/tamarackknot"
)

const (
	methodGossip  = "gossip"
	methodMembers = "members"

	// maxUpdates limits the updates in a message.
	maxUpdates = 32
	// maxUpdateBytes limits the encoded updates of a message while it is filled
	// with changes, maxRepeatBytes while it is filled with repeated states. The
	// control plane may use 8 KB/s per host in both directions together;
	// messages always filled up to 1200 bytes used 10.5 KB/s at 770 hosts.
	maxUpdateBytes = 1200
	maxRepeatBytes = 500
	maxSigns       = 8
	maxProbes      = 8
	// maxPackedBytes limits a received message; no host of this version sends
	// larger ones.
	maxPackedBytes = 64 << 10
	maxNameBytes   = 253
	maxReasonBytes = 253
)

// serviceState is the state that a member reports of itself.
type serviceState uint8

const (
	stateAlive serviceState = iota
	stateStale
	stateLeaving
	stateIdle // leaving, without an order outstanding
)

// fault is the state of a member according to failure detection.
type fault uint8

const (
	faultNone fault = iota
	faultSuspect
	faultDead
)

// details are the addresses and the failure domain of a member. They are
// omitted where the receiver most likely has them.
type details struct {
	_             struct{} `cbor:",toarray"`
	Address       string
	PeerAddress   string
	FailureDomain string
}

// update is one member's state in a message. The CBOR array encoding takes
// about 50 bytes without details.
type update struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation uuid.UUID
	Standing    serviceState
	Fault       fault
	// Beat is the heartbeat number: microseconds since the member started, by
	// its own clock.
	Beat uint64
	// AgeMS is an upper bound of the time between the heartbeat Beat and this
	// message, in milliseconds; ageUnknown if the sender has no bound.
	AgeMS        int64
	Applied      tamarackknot.Offset
	ConfigOffset tamarackknot.Offset
	Details      *details
}

// size estimates the encoded size in bytes.
func (u *update) size() int {
	n := 48 + len(u.Host)
	if u.Details != nil {
		n += 4 + len(u.Details.Address) + len(u.Details.PeerAddress) + len(u.Details.FailureDomain)
	}
	return n
}

// sign is a tamarackknot.EndpointSign with its remaining lifetime in
// milliseconds instead of a deadline, because the clocks of two hosts may
// differ.
type sign struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Endpoint string
	Reason   string
	LeftMS   int64
}

// message is a gossip message. The first update is the sender's own state.
type message struct {
	_    struct{}            `cbor:",toarray"`
	Head tamarackknot.Offset // newest log offset that any host is known to have applied
	// Faults is a digest of the processes that the sender considers suspect or
	// dead, for at most faultRepairWindow.
	Faults  uint64
	Updates []update
	Signs   []sign
	// Ask names members whose newest state the receiver must send back at once.
	Ask []string
	// Echo is set in the reply to a probe.
	Echo *echo
}

// echo proves that a message was sent after the receiver's own heartbeat Beat.
type echo struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uuid.UUID
	Beat        uint64
}

// ageUnknown is the AgeMS of a state of unknown age.
const ageUnknown = -1

// packed carries a CBOR message in the JSON parameters of a call.
type packed struct {
	Packed []byte `json:"packed"`
}

// membersParams requests the page of the member table that follows the name
// After.
type membersParams struct {
	After string `json:"after"`
}

func pack(msg *message) (packed, error) {
	data, err := cbor.Marshal(msg)
	return packed{Packed: data}, errors.Wrap(err, "encode gossip message")
}

// unpack decodes and validates a message of the host from.
func unpack(p packed, from string) (*message, error) {
	if len(p.Packed) > maxPackedBytes {
		return nil, errors.Newf("gossip message has %d bytes, limit %d", len(p.Packed), maxPackedBytes)
	}
	var msg message
	if err := cbor.Unmarshal(p.Packed, &msg); err != nil {
		return nil, errors.Wrap(err, "decode gossip message")
	}
	if len(msg.Updates) == 0 || msg.Updates[0].Host != from {
		return nil, errors.Newf("gossip message of host %s does not start with its own state", from)
	}
	if len(msg.Updates) > maxUpdates || len(msg.Signs) > maxSigns || len(msg.Ask) > maxProbes {
		return nil, errors.Newf("gossip message has %d updates, %d signs and %d probes, limits %d, %d and %d",
			len(msg.Updates), len(msg.Signs), len(msg.Ask), maxUpdates, maxSigns, maxProbes)
	}
	for i := range msg.Updates {
		if n := len(msg.Updates[i].Host); n == 0 || n > maxNameBytes {
			return nil, errors.Newf("host name in gossip message has %d bytes, allowed 1 to %d", n, maxNameBytes)
		}
	}
	for _, s := range msg.Signs {
		if len(s.Endpoint) > maxNameBytes || len(s.Reason) > maxReasonBytes {
			return nil, errors.Newf("endpoint sign in gossip message has %d and %d bytes, limits %d and %d",
				len(s.Endpoint), len(s.Reason), maxNameBytes, maxReasonBytes)
		}
	}
	return &msg, nil
}
