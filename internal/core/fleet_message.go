package core

import "github.com/gooseberryslip/gooseberryslip/internal/entity"

// FleetRequest names the services that the sender plans and the backend servers
// that it drains. It asks for the load of the former and for whether the latter
// are idle. The receiver sends no new work to the draining backend servers.
type FleetRequest struct {
	Round    uint32                   `cbor:"1,keyasint"`
	Services []entity.ServiceName     `cbor:"2,keyasint,omitempty"`
	Draining []entity.BackendServerID `cbor:"3,keyasint,omitempty"`
}

// FleetResponse answers a FleetRequest. It reports what the responding daemon
// itself knows, not the whole system.
type FleetResponse struct {
	Round uint32        `cbor:"1,keyasint"`
	Loads []ServiceLoad `cbor:"2,keyasint,omitempty"` // services without load or slots are omitted
	// Idle lists those of FleetRequest.Draining on which the responding daemon
	// runs nothing.
	Idle []entity.BackendServerID `cbor:"3,keyasint,omitempty"`
}

// ServiceLoad is the load of those backend servers of a service that the
// sending daemon coordinates. Queued also counts requests that wait there
// because the service has no backend server yet.
type ServiceLoad struct {
	Service entity.ServiceName `cbor:"1,keyasint"`
	Busy    int                `cbor:"2,keyasint,omitempty"` // slots in use
	Slots   int                `cbor:"3,keyasint,omitempty"` // slots in all
	Queued  int                `cbor:"4,keyasint,omitempty"` // requests that wait for a slot
}
