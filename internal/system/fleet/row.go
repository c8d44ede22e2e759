package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	leaseSortKey     = "lease"
	intentSortPrefix = "server/"
	partitionPrefix  = "fleet/"
	tokenBytes       = 16
	rowsPerPage      = 500
	maxIntentWrites  = 90 // in one transaction; the table service allows 100 writes
)

// leaseRow is the value of a service's lease row. The row's version is the
// fencing token.
type leaseRow struct {
	Holder      entity.InstanceID `cbor:"1,keyasint"` // empty: the lease was released
	OperationID string            `cbor:"2,keyasint"` // ID of the last write
	Term        uint64            `cbor:"3,keyasint"` // the row's version when the holder took over
	// Numbers of the launches that may be sent without an intent of their own
	// while the table is down: ReserveCount numbers of this term, starting at
	// ReserveFrom.
	ReserveFrom  uint64        `cbor:"4,keyasint"`
	ReserveCount uint64        `cbor:"5,keyasint"`
	Rates        []ReclaimRate `cbor:"6,keyasint,omitempty"`
}

// intentState is the recorded stage of an instance's life cycle.
type intentState uint8

const (
	// intentRequested: the launch request may have been sent.
	intentRequested intentState = iota + 1
	// intentStarted: the instance exists.
	intentStarted
	// intentDraining: the instance must get no new requests, and will be
	// stopped.
	intentDraining
	// intentStopping: the instance is drained; the stop request may have been
	// sent.
	intentStopping
)

// intentRow is the value of the row that records one instance.
type intentRow struct {
	Token    string            `cbor:"1,keyasint"`
	State    intentState       `cbor:"2,keyasint"`
	Choice   Choice            `cbor:"3,keyasint"`
	Instance entity.InstanceID `cbor:"4,keyasint,omitempty"`
}

func partitionKey(s entity.ServiceName) string { return partitionPrefix + string(s) }

func intentSortKey(token string) string { return intentSortPrefix + token }

// launchToken returns the token of a numbered launch request of a term. It
// differs from the tokens of all other terms.
func launchToken(s entity.ServiceName, term, number uint64) string {
	return hashToken(fmt.Sprintf("order/%s/%d/%d", s, term, number))
}

// reserveToken returns the token of a reserved launch request of a term.
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
		panic(err) // only for types that CBOR cannot encode
	}
	return data
}
