// Package entity holds the identifiers, the shared row types and the typed
// tables that the systems work on.
package entity

// InstanceID names one machine. A daemon is named by the instance it runs on
// and its boot, so that a restarted daemon is a new one.
type InstanceID string

// DataCentreID names a zone of a region.
type DataCentreID string

// RegionID names a region.
type RegionID string

// OrganisationID names a customer.
type OrganisationID string

// ServiceName names a service; one service document describes it.
type ServiceName string

// BackendServerID names a back end within the whole system.
type BackendServerID string

// RequestID names one accepted request. It is not guessable.
type RequestID string

// AttemptNumber names one send of a request to a backend server. It rises from
// send to send of one daemon; 0 stands for none.
type AttemptNumber uint32

// Digest is the hash of a request's service, method, path and body.
type Digest [32]byte

// Priority orders requests: 0 is the most urgent class.
type Priority uint8

// PriorityCount is the number of priority classes.
const PriorityCount = 4

// Tokens counts model tokens, prompt and output alike.
type Tokens int64

// Place says where a process runs.
type Place struct {
	Region     RegionID     `cbor:"1,keyasint,omitempty" json:"region"`
	DataCentre DataCentreID `cbor:"2,keyasint,omitempty" json:"data_centre"`
}
