package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	leaseSort    = "lease"
	intentPrefix = "server/"
	partitionTag = "fleet/"
	tokenBytes   = 16
	pageRows     = 500
	maxRowWrites = 90 // intents of one transaction; the service allows 100 writes
)

// leaseRow is the value of a service's lease row. The row's version is the
// fencing number.
type leaseRow struct {
	Holder    entity.InstanceID `cbor:"1,keyasint"` // empty: released
	Operation string            `cbor:"2,keyasint"` // of the last write
	Term      uint64            `cbor:"3,keyasint"` // the version at which the holder took over
	// Orders with the tokens of reserve numbers ReserveFrom to ReserveFrom +
	// ReserveCount - 1 of this term may be placed without an intent of their
	// own, while the table is down.
	ReserveFrom  uint64 `cbor:"4,keyasint"`
	ReserveCount uint64 `cbor:"5,keyasint"`
	Rates        []Rate `cbor:"6,keyasint,omitempty"`
}

// intentState is how far an instance's life has been recorded.
type intentState uint8

const (
	// intentOrdered: the order to start may have been placed.
	intentOrdered intentState = iota + 1
	// intentStarted: the instance exists.
	intentStarted
	// intentDraining: the instance shall get no new work and be stopped.
	intentDraining
	// intentStopping: drained; the order to stop may have been placed.
	intentStopping
)

// intentRow is the value of the row of one instance.
type intentRow struct {
	Token    string            `cbor:"1,keyasint"`
	State    intentState       `cbor:"2,keyasint"`
	Choice   Choice            `cbor:"3,keyasint"`
	Instance entity.InstanceID `cbor:"4,keyasint,omitempty"`
}

func partitionOf(s entity.ServiceName) string { return partitionTag + string(s) }

func intentSort(token string) string { return intentPrefix + token }

// orderToken names an order of a term. No other term gives the same.
func orderToken(s entity.ServiceName, term, number uint64) string {
	return hashToken(fmt.Sprintf("order/%s/%d/%d", s, term, number))
}

// reserveToken names a reserved order of a term.
func reserveToken(s entity.ServiceName, term, number uint64) string {
	return hashToken(fmt.Sprintf("reserve/%s/%d/%d", s, term, number))
}

func adoptedToken(id entity.InstanceID) string { return "adopted-" + string(id) }

func hashToken(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:tokenBytes])
}

func encode(v any) []byte {
	data, err := codec.Encode(v)
	if err != nil {
		panic(err) // only for types that CBOR cannot hold
	}
	return data
}
