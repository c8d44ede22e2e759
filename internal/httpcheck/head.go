// Package httpcheck finds HTTP/1 responses that violate the protocol and that package net/http accepts all the same.
package httpcheck

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Status codes of responses, interim ones included (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// ErrInvalidHead is the error of a head or trailer that violates the protocol, so that neither the framing of
// the response nor anything it says can be relied on.
var ErrInvalidHead = errors.New("invalid head of a response")

// Head returns an error that wraps ErrInvalidHead if the head of a response, interim ones included, is invalid.
func Head(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return fmt.Errorf("%w: protocol %.40q", ErrInvalidHead, resp.Proto)
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus || !httpguts.ValidHeaderFieldValue(resp.Status):
		return fmt.Errorf("%w: status %.40q", ErrInvalidHead, resp.Status)
	}
	return Fields(resp.Header)
}

// Fields returns an error that wraps ErrInvalidHead if a field name of a header or trailer is no token (RFC 9110, section
// 5.1). The parser of net/http accepts spaces in names, so that a content length or a transfer encoding with a space
// before its colon goes unnoticed. Names without values, as those of announced trailers, are skipped.
func Fields(fields http.Header) error {
	for name, values := range fields {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field %.40q", ErrInvalidHead, name)
		}
	}
	return nil
}
