package core

import "github.com/gooseberryslip/gooseberryslip/internal/entity"

// FleetAsk says which services the sender plans and asks for their load and
// for backend servers that are being drained. The receiver gives the latter no
// work from then on.
type FleetAsk struct {
	Round    uint32                   `cbor:"1,keyasint"`
	Services []entity.ServiceName     `cbor:"2,keyasint,omitempty"`
	Draining []entity.BackendServerID `cbor:"3,keyasint,omitempty"`
}

// FleetHave answers a FleetAsk for the sender alone.
type FleetHave struct {
	Round uint32        `cbor:"1,keyasint"`
	Loads []ServiceLoad `cbor:"2,keyasint,omitempty"` // without those of zero
	// Idle are those of Draining on which the sender runs nothing.
	Idle []entity.BackendServerID `cbor:"3,keyasint,omitempty"`
}

// ServiceLoad is the load of the backend servers of a service that a daemon
// coordinates.
type ServiceLoad struct {
	Service entity.ServiceName `cbor:"1,keyasint"`
	Busy    int                `cbor:"2,keyasint,omitempty"`
	Slots   int                `cbor:"3,keyasint,omitempty"`
	Queued  int                `cbor:"4,keyasint,omitempty"`
}
