package core

import (
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/admission"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
)

// Message is what daemons send each other. Exactly one field beside
// Stamp is set.
type Message struct {
	Membership    *membership.Message `cbor:"1,keyasint,omitempty"`
	Grant         *grant.Message      `cbor:"2,keyasint,omitempty"`
	Relay         *Relay              `cbor:"3,keyasint,omitempty"`
	RelayTokens   *RelayTokens        `cbor:"4,keyasint,omitempty"`
	RelayEnd      *RelayEnd           `cbor:"5,keyasint,omitempty"`
	RelayCancel   *RelayCancel        `cbor:"6,keyasint,omitempty"`
	Offer         *Offer              `cbor:"7,keyasint,omitempty"`
	OfferReply    *OfferReply         `cbor:"8,keyasint,omitempty"`
	OfferCommit   *OfferCommit        `cbor:"9,keyasint,omitempty"`
	DocumentsAsk  *DocumentsAsk       `cbor:"10,keyasint,omitempty"`
	DocumentsHave *DocumentsHave      `cbor:"11,keyasint,omitempty"`
	RelayPoll     *RelayPoll          `cbor:"12,keyasint,omitempty"`
	FleetAsk      *FleetAsk           `cbor:"20,keyasint,omitempty"`
	FleetHave     *FleetHave          `cbor:"21,keyasint,omitempty"`
	Admission     *admission.Message  `cbor:"14,keyasint,omitempty"`
	// Stamp is the sender's hybrid logical clock; the shell sets it.
	Stamp timeline.Stamp `cbor:"13,keyasint,omitzero"`
}

// Relay asks the owner of a key's shard to run a request.
type Relay struct {
	Request  entity.RequestID `cbor:"1,keyasint"`
	Work     Work             `cbor:"2,keyasint"`
	TimeLeft int64            `cbor:"3,keyasint"` // microseconds until the deadline
	Progress *Progress        `cbor:"4,keyasint,omitempty"`
	Round    uint32           `cbor:"5,keyasint"` // counts the relays of this request
}

// RelayTokens carries new tokens of a relayed request.
type RelayTokens struct {
	Request  entity.RequestID `cbor:"1,keyasint"`
	Round    uint32           `cbor:"2,keyasint"`
	First    int              `cbor:"3,keyasint"`
	Tokens   []string         `cbor:"4,keyasint"`
	Progress *Progress        `cbor:"5,keyasint,omitempty"` // where the run is, without tokens
}

// RelayEnd carries the final outcome of a relayed request.
type RelayEnd struct {
	Request entity.RequestID `cbor:"1,keyasint"`
	Round   uint32           `cbor:"2,keyasint"`
	Answer  *Answer          `cbor:"3,keyasint,omitempty"`
	Failure *Failure         `cbor:"4,keyasint,omitempty"`
	// TryAgain: the sender does not own the shard, or no longer.
	TryAgain bool `cbor:"5,keyasint,omitempty"`
	// Progress goes with TryAgain if the sender has started a run.
	Progress *Progress `cbor:"6,keyasint,omitempty"`
	Total    int       `cbor:"7,keyasint,omitempty"` // tokens of the answer
	// NotRun goes with TryAgain: the relay was turned away on arrival.
	NotRun bool `cbor:"8,keyasint,omitempty"`
}

// RelayPoll asks for news of a relayed request.
type RelayPoll struct {
	Request entity.RequestID `cbor:"1,keyasint"`
	Round   uint32           `cbor:"2,keyasint"`
	Have    int              `cbor:"3,keyasint"` // tokens received
	Sum     uint32           `cbor:"4,keyasint"` // their checksum
}

// RelayCancel withdraws a relayed request.
type RelayCancel struct {
	Request entity.RequestID `cbor:"1,keyasint"`
}

// Offer asks a peer to take a request over.
type Offer struct {
	Request  entity.RequestID `cbor:"1,keyasint"`
	Work     Work             `cbor:"2,keyasint"`
	TimeLeft int64            `cbor:"3,keyasint"` // microseconds until the deadline
	Progress Progress         `cbor:"4,keyasint"`
	Answer   *Answer          `cbor:"5,keyasint,omitempty"` // set if finished
	Failure  *Failure         `cbor:"6,keyasint,omitempty"` // set if finished
}

// OfferReply accepts or declines an offer.
type OfferReply struct {
	Request  entity.RequestID `cbor:"1,keyasint"`
	Accepted bool             `cbor:"2,keyasint"`
}

// OfferCommit says that the sender has stopped work on the request; the
// receiver goes on from Progress.
type OfferCommit struct {
	Request  entity.RequestID `cbor:"1,keyasint"`
	Progress Progress         `cbor:"2,keyasint"`
	Answer   *Answer          `cbor:"3,keyasint,omitempty"`
	Failure  *Failure         `cbor:"4,keyasint,omitempty"`
}

// DocumentsAsk asks a peer for service documents after a revision.
type DocumentsAsk struct {
	After uint64 `cbor:"1,keyasint"`
}

// DocumentsHave carries service documents and the sender's head revision.
type DocumentsHave struct {
	Snapshot configuration.Snapshot `cbor:"1,keyasint"`
}

// Failure is an error with its verdict in a message.
type Failure struct {
	Verdict    string `cbor:"1,keyasint"`
	Code       string `cbor:"2,keyasint"`
	Message    string `cbor:"3,keyasint"`
	RetryAfter int64  `cbor:"4,keyasint,omitempty"` // microseconds
}
