package core

import (
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/admission"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
)

// Message is a message between daemons. Exactly one field besides Stamp is set.
type Message struct {
	Membership        *membership.Message `cbor:"1,keyasint,omitempty"`
	Grant             *grant.Message      `cbor:"2,keyasint,omitempty"`
	Relay             *Relay              `cbor:"3,keyasint,omitempty"`
	RelayTokens       *RelayTokens        `cbor:"4,keyasint,omitempty"`
	RelayEnd          *RelayEnd           `cbor:"5,keyasint,omitempty"`
	RelayCancel       *RelayCancel        `cbor:"6,keyasint,omitempty"`
	Offer             *Offer              `cbor:"7,keyasint,omitempty"`
	OfferReply        *OfferReply         `cbor:"8,keyasint,omitempty"`
	OfferCommit       *OfferCommit        `cbor:"9,keyasint,omitempty"`
	DocumentsRequest  *DocumentsRequest   `cbor:"10,keyasint,omitempty"`
	DocumentsResponse *DocumentsResponse  `cbor:"11,keyasint,omitempty"`
	RelayPoll         *RelayPoll          `cbor:"12,keyasint,omitempty"`
	FleetRequest      *FleetRequest       `cbor:"20,keyasint,omitempty"`
	FleetResponse     *FleetResponse      `cbor:"21,keyasint,omitempty"`
	Admission         *admission.Message  `cbor:"14,keyasint,omitempty"`
	// Stamp is the sender's hybrid logical clock. It is set outside the core.
	Stamp timeline.Stamp `cbor:"13,keyasint,omitzero"`
}

// Relay asks the owner of a key's shard to run a request on behalf of the
// sender.
type Relay struct {
	Request  entity.RequestID `cbor:"1,keyasint"`
	Work     Work             `cbor:"2,keyasint"`
	TimeLeft int64            `cbor:"3,keyasint"` // microseconds until the deadline
	Progress *Progress        `cbor:"4,keyasint,omitempty"`
	Round    uint32           `cbor:"5,keyasint"` // counts the relays of this request by the sender
}

// RelayTokens carries new tokens of a relayed request to the daemon that
// relayed it.
type RelayTokens struct {
	Request  entity.RequestID `cbor:"1,keyasint"`
	Round    uint32           `cbor:"2,keyasint"`
	First    int              `cbor:"3,keyasint"` // index of the first token, from 1
	Tokens   []string         `cbor:"4,keyasint"`
	Progress *Progress        `cbor:"5,keyasint,omitempty"` // state of the run, without tokens
}

// RelayEnd carries the final outcome of a relayed request.
type RelayEnd struct {
	Request entity.RequestID `cbor:"1,keyasint"`
	Round   uint32           `cbor:"2,keyasint"`
	Answer  *Answer          `cbor:"3,keyasint,omitempty"`
	Failure *Failure         `cbor:"4,keyasint,omitempty"`
	// TryAgain: the sender does not own the shard, or no longer; the request
	// has to be routed again.
	TryAgain bool `cbor:"5,keyasint,omitempty"`
	// Progress is set with TryAgain if the sender has started a run.
	Progress *Progress `cbor:"6,keyasint,omitempty"`
	Total    int       `cbor:"7,keyasint,omitempty"` // number of tokens of the answer
	// NotRun is set with TryAgain if the relay was rejected on arrival.
	NotRun bool `cbor:"8,keyasint,omitempty"`
}

// RelayPoll asks the owner for the tokens or the outcome of a relayed request
// after a time without messages, or when some are missing.
type RelayPoll struct {
	Request entity.RequestID `cbor:"1,keyasint"`
	Round   uint32           `cbor:"2,keyasint"`
	Have    int              `cbor:"3,keyasint"` // number of tokens received
	Sum     uint32           `cbor:"4,keyasint"` // checksum of the tokens received
}

// RelayCancel cancels a relayed request.
type RelayCancel struct {
	Request entity.RequestID `cbor:"1,keyasint"`
}

// Offer asks a peer to take over a request of a leaving daemon.
type Offer struct {
	Request  entity.RequestID `cbor:"1,keyasint"`
	Work     Work             `cbor:"2,keyasint"`
	TimeLeft int64            `cbor:"3,keyasint"` // microseconds until the deadline
	Progress Progress         `cbor:"4,keyasint"`
	Answer   *Answer          `cbor:"5,keyasint,omitempty"` // set if the request has an answer
	Failure  *Failure         `cbor:"6,keyasint,omitempty"` // set if the request has failed
}

// OfferReply accepts or declines an Offer.
type OfferReply struct {
	Request  entity.RequestID `cbor:"1,keyasint"`
	Accepted bool             `cbor:"2,keyasint"`
}

// OfferCommit says that the sender has stopped work on the request; the
// receiver continues it from Progress. If Answer or Failure is set, the request
// has ended.
type OfferCommit struct {
	Request  entity.RequestID `cbor:"1,keyasint"`
	Progress Progress         `cbor:"2,keyasint"`
	Answer   *Answer          `cbor:"3,keyasint,omitempty"`
	Failure  *Failure         `cbor:"4,keyasint,omitempty"`
}

// DocumentsRequest asks a peer for the service documents that are newer than a
// revision.
type DocumentsRequest struct {
	After uint64 `cbor:"1,keyasint"` // revision that the sender has
}

// DocumentsResponse carries service documents and the sender's head revision, the
// highest that it knows.
type DocumentsResponse struct {
	Snapshot configuration.Snapshot `cbor:"1,keyasint"`
}

// Failure is an error with its verdict, encoded for a message.
type Failure struct {
	Verdict    string `cbor:"1,keyasint"`
	Code       string `cbor:"2,keyasint"`
	Message    string `cbor:"3,keyasint"`
	RetryAfter int64  `cbor:"4,keyasint,omitempty"` // microseconds
}
