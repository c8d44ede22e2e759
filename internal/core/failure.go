package core

import (
	"github.com/ansel1/merry/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// failureOf encodes an error for a message to another daemon; nil for no error.
func failureOf(err error) *Failure {
	if err == nil {
		return nil
	}
	f := &Failure{
		Verdict: verdict.Of(err).String(),
		Code:    string(verdict.CodeOf(err)),
		Message: err.Error(),
	}
	if d, ok := verdict.RetryAfter(err); ok {
		f.RetryAfter = toMicros(d)
	}
	return f
}

// err returns the error that a message carries, or nil.
func (f *Failure) err() error {
	if f == nil {
		return nil
	}
	err := verdict.New(verdict.Parse(f.Verdict), verdict.Code(f.Code), f.Message)
	if f.RetryAfter > 0 {
		err = verdict.WithRetryAfter(err, fromMicros(f.RetryAfter))
	}
	return err
}

// withVerdict replaces the verdict of an error and keeps its code and message.
func withVerdict(err error, v verdict.Verdict) error {
	return verdict.Wrap(merry.Wrap(err, merry.NoCaptureStack()), v, verdict.CodeOf(err))
}
