// Package verdict says, for every failure, whether the request may have run on
// a backend server. The verdict travels inside errors built with merry.
package verdict

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Verdict states what is known about the execution of a request.
type Verdict uint8

const (
	// MayHaveRun is the zero value: without proof, a request may have run.
	MayHaveRun Verdict = iota
	// NotRun means that no backend server has started the request.
	NotRun
	// Ran means that a backend server has finished the request.
	Ran
)

// String returns the form used in headers and bodies of the caller's API.
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

// Parse is the inverse of String. Unknown text is MayHaveRun.
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

type valueKey int

const (
	verdictKey valueKey = iota
	codeKey
	retryAfterKey
)

// Code is a stable, machine-readable reason of a failure, such as "over-limit".
type Code string

// New returns an error with a verdict, a code and a message for people.
func New(v Verdict, c Code, msg string) error {
	return merry.New(msg, merry.WithValue(verdictKey, v), merry.WithValue(codeKey, c), merry.NoCaptureStack())
}

// Wrap adds a verdict and a code to an error.
func Wrap(err error, v Verdict, c Code) error {
	return merry.Wrap(err, merry.WithValue(verdictKey, v), merry.WithValue(codeKey, c), merry.NoCaptureStack())
}

// WithRetryAfter adds the time after which the caller should try again.
func WithRetryAfter(err error, d time.Duration) error {
	return merry.Wrap(err, merry.WithValue(retryAfterKey, d), merry.NoCaptureStack())
}

// Of returns the verdict of an error; MayHaveRun when it carries none.
func Of(err error) Verdict {
	v, _ := merry.Value(err, verdictKey).(Verdict)
	return v
}

// CodeOf returns the code of an error; "internal" when it carries none.
func CodeOf(err error) Code {
	c, ok := merry.Value(err, codeKey).(Code)
	if !ok {
		return "internal"
	}
	return c
}

// RetryAfter returns the time after which to try again, and whether one is set.
func RetryAfter(err error) (time.Duration, bool) {
	d, ok := merry.Value(err, retryAfterKey).(time.Duration)
	return d, ok
}
