// Package verdict attaches to an error whether the failed request may have run
// on a backend server, together with an error code and a retry time. These are
// values of the error that the merry library keeps when the error is wrapped.
package verdict

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Verdict is what is known about the execution of a request.
type Verdict uint8

const (
	// MayHaveRun means that the request may have run. It is the zero value,
	// because it holds wherever nothing is proven.
	MayHaveRun Verdict = iota
	// NotRun means that no backend server has started the request.
	NotRun
	// Ran means that a backend server has finished the request.
	Ran
)

// String returns the verdict as the callers' API writes it in headers and
// bodies.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse returns the verdict that String writes as s, or MayHaveRun for any other
// text.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// valueKey is the type of the keys of values attached to an error.
type valueKey int

const (
	verdictKey valueKey = iota
	codeKey
	retryAfterKey
)

// Code is the stable, machine-readable reason for a failure, such as
// "over-limit".
type Code string

// New returns an error with a verdict, a code and a human-readable message.
func New(v Verdict, c Code, msg string) error {
	return merry.New(msg, merry.WithValue(verdictKey, v), merry.WithValue(codeKey, c), merry.NoCaptureStack())
}

// Wrap returns err with a verdict and a code, which replace those it had.
func Wrap(err error, v Verdict, c Code) error {
	return merry.Wrap(err, merry.WithValue(verdictKey, v), merry.WithValue(codeKey, c), merry.NoCaptureStack())
}

// WithRetryAfter returns err with the delay after which the caller should try
// again.
func WithRetryAfter(err error, d time.Duration) error {
	return merry.Wrap(err, merry.WithValue(retryAfterKey, d), merry.NoCaptureStack())
}

// Of returns the verdict of an error, or MayHaveRun if it has none.
func Of(err error) Verdict {
	v, _ := merry.Value(err, verdictKey).(Verdict)
	return v
}

// CodeOf returns the code of an error, or "internal" if it has none.
func CodeOf(err error) Code {
	c, ok := merry.Value(err, codeKey).(Code)
	if !ok {
		return "internal"
	}
	return c
}

// RetryAfter returns the delay after which the caller should try again, and
// whether the error has one.
func RetryAfter(err error) (time.Duration, bool) {
	d, ok := merry.Value(err, retryAfterKey).(time.Duration)
	return d, ok
}
