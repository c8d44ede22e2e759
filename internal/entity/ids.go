// Package entity holds the identifiers, the types of service documents and the
// generic table that the daemon's subsystems share.
package entity

// InstanceID identifies one machine, or one daemon process. The ID of a process
// consists of that of its machine and the time at which the process started, so
// that a restarted daemon counts as a new one.
type InstanceID string

// DataCentreID identifies a data centre: an availability zone of a region.
type DataCentreID string

// RegionID identifies a region of the cloud.
type RegionID string

// OrganisationID identifies a customer.
type OrganisationID string

// ServiceName identifies a service. One service document describes it.
type ServiceName string

// BackendServerID identifies a backend server. It is unique over all services.
type BackendServerID string

// ServerProcess identifies one process of a backend server. An ID may be used again by a
// later process.
type ServerProcess struct {
	Server BackendServerID `cbor:"1,keyasint"`
	Born   int64           `cbor:"2,keyasint,omitempty"` // its start, Unix milliseconds; 0: not known
}

// RequestID identifies one accepted request. It cannot be guessed.
type RequestID string

// AttemptNumber identifies one attempt, that is, one send of a request to a
// backend server. A daemon numbers its attempts in ascending order; 0 means no
// attempt.
type AttemptNumber uint32

// Digest is the SHA-256 hash of the service and the content of a request. Two
// requests with the same digest have the same service and content.
type Digest [32]byte

// Priority is the class of a request: 0 is the most urgent one.
type Priority uint8

// PriorityCount is the number of priority classes.
const PriorityCount = 4

// Tokens is a number of model tokens, of the prompt and the output.
type Tokens int64

// Location is where a process runs.
type Location struct {
	Region     RegionID     `cbor:"1,keyasint,omitempty" json:"region"`
	DataCentre DataCentreID `cbor:"2,keyasint,omitempty" json:"data_centre"`
}
