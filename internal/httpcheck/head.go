// Package httpcheck finds HTTP responses that break the protocol and that package net/http passes all the same.
package httpcheck

import (
	"errors"
	"fmt"
	"net/http"
)

// Status codes of responses, interim ones included (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// ErrInvalidHead is the error of a head that is none of an HTTP/1 response, so that neither its framing nor
// anything it says can be relied on.
var ErrInvalidHead = errors.New("invalid head of a response")

// Head returns an error that wraps ErrInvalidHead if the head of a response, interim ones included, is invalid.
func Head(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %.40q", ErrInvalidHead, resp.Status)
	}
	return nil
}
