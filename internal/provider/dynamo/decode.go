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

const conditionFailedCode = "ConditionalCheckFailed"

// decodeRow returns the row that an item's attributes hold. A malformed item is an
// error like a failed read.
func decodeRow(item map[string]types.AttributeValue) (provider.Row, error) {
	pk, okPK := item["pk"].(*types.AttributeValueMemberS)
	sk, okSK := item["sk"].(*types.AttributeValueMemberS)
	ver, okVer := item["ver"].(*types.AttributeValueMemberN)
	val, okVal := item["val"].(*types.AttributeValueMemberB)
	if !okPK || !okSK || !okVer || !okVal {
		return provider.Row{}, withCause(provider.ErrUnavailable, errors.New("row lacks an attribute"))
	}
	version, err := strconv.ParseUint(ver.Value, 10, 64)
	if err != nil {
		return provider.Row{}, withCause(provider.ErrUnavailable, err)
	}
	return provider.Row{Partition: pk.Value, Sort: sk.Value, Version: version, Value: val.Value}, nil
}

// mapReadError maps the error of a failed read to a sentinel of package
// provider. A read has no effect, so its outcome is never unknown.
func mapReadError(err error) error { return withCause(provider.ErrUnavailable, err) }

// mapWriteError maps the error of a failed transaction to a sentinel of package
// provider. Only two things prove that the transaction had no effect: a response
// that says so, or that no byte of the request was written to the network.
func mapWriteError(err error, tracker *onesend.WriteTracker) error {
	if err == nil {
		return nil
	}
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return mapCancellation(cancelled)
	}
	var inProgress *types.TransactionInProgressException
	if errors.As(err, &inProgress) {
		return withCause(provider.ErrUnknownOutcome, err)
	}
	var apiError smithy.APIError
	if errors.As(err, &apiError) && apiError.ErrorFault() == smithy.FaultClient {
		return withCause(provider.ErrUnavailable, err)
	}
	if errors.As(err, &apiError) && noEffectCodes[apiError.ErrorCode()] {
		return withCause(provider.ErrUnavailable, err)
	}
	if tracker.NothingWritten() {
		return withCause(provider.ErrUnavailable, err)
	}
	return withCause(provider.ErrUnknownOutcome, err)
}

// noEffectCodes are the error codes with which DynamoDB rejects a request before
// it has any effect. The list is needed since the SDK sets no fault (client or
// server) for errors that it has no type for; those are recognised by their code.
var noEffectCodes = map[string]bool{
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

// mapCancellation maps a cancelled transaction, which wrote nothing. A failed
// condition is final; after a conflict or a throttled item the transaction can be
// tried again.
func mapCancellation(e *types.TransactionCanceledException) error {
	for _, r := range e.CancellationReasons {
		if r.Code != nil && *r.Code == conditionFailedCode {
			return withCause(provider.ErrConditionFailed, e)
		}
	}
	return withCause(provider.ErrUnavailable, e)
}

func withCause(sentinel, cause error) error {
	return merry.Wrap(sentinel, merry.WithCause(cause), merry.NoCaptureStack())
}
