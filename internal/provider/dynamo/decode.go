package dynamo

import (
	"errors"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/onesend"
)

const conditionalCheckFailed = "ConditionalCheckFailed"

// row reads a row's attributes. A malformed row is as good as none.
func row(item map[string]types.AttributeValue) (provider.Row, error) {
	pk, okPK := item["pk"].(*types.AttributeValueMemberS)
	sk, okSK := item["sk"].(*types.AttributeValueMemberS)
	ver, okVer := item["ver"].(*types.AttributeValueMemberN)
	val, okVal := item["val"].(*types.AttributeValueMemberB)
	if !okPK || !okSK || !okVer || !okVal {
		return provider.Row{}, wrap(provider.ErrUnavailable, errors.New("row lacks an attribute"))
	}
	version, err := strconv.ParseUint(ver.Value, 10, 64)
	if err != nil {
		return provider.Row{}, wrap(provider.ErrUnavailable, err)
	}
	return provider.Row{Partition: pk.Value, Sort: sk.Value, Version: version, Value: val.Value}, nil
}

// readError maps a failed read. A read has no effect, whatever went wrong.
func readError(err error) error { return wrap(provider.ErrUnavailable, err) }

// writeError maps a failed transaction. Only an answer that says so, or a call
// of which no byte was written, proves that there was no effect.
func writeError(err error, sent *onesend.Sent) error {
	if err == nil {
		return nil
	}
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return cancelledError(cancelled)
	}
	var inProgress *types.TransactionInProgressException
	if errors.As(err, &inProgress) {
		return wrap(provider.ErrUnknownOutcome, err)
	}
	var answer smithy.APIError
	if errors.As(err, &answer) && answer.ErrorFault() == smithy.FaultClient {
		return wrap(provider.ErrUnavailable, err)
	}
	if errors.As(err, &answer) && refusedCodes[answer.ErrorCode()] {
		return wrap(provider.ErrUnavailable, err)
	}
	if sent.Nothing() {
		return wrap(provider.ErrUnavailable, err)
	}
	return wrap(provider.ErrUnknownOutcome, err)
}

// refusedCodes are answers that precede any effect. Errors that the SDK does
// not model carry no fault, so they are told by code.
var refusedCodes = map[string]bool{
	"AccessDeniedException":                  true,
	"IdempotentParameterMismatchException":   true,
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
	"ResourceNotFoundException":              true,
	"SerializationException":                 true,
	"ThrottlingException":                    true,
	"UnrecognizedClientException":            true,
	"ValidationException":                    true,
}

// cancelledError maps a cancelled transaction: a failed condition is final, a
// conflict or a throttled item is not.
func cancelledError(e *types.TransactionCanceledException) error {
	for _, r := range e.CancellationReasons {
		if r.Code != nil && *r.Code == conditionalCheckFailed {
			return wrap(provider.ErrConditionFailed, e)
		}
	}
	return wrap(provider.ErrUnavailable, e)
}

func wrap(sentinel, cause error) error {
	return merry.Wrap(sentinel, merry.WithCause(cause), merry.NoCaptureStack())
}
