package ec2cloud

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	v4 "github.com/aws/aws-sdk-go-v2/aws/signer/v4"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/onesend"
)

const (
	signingName      = "ec2" // service name in AWS Signature Version 4
	maxResponseBytes = 16 << 20
)

// apiError is a response whose HTTP status is not 200.
type apiError struct {
	Status  int
	Code    string
	Message string
}

func (e *apiError) Error() string {
	return fmt.Sprintf("EC2 API error %s: %s (HTTP status %d)", e.Code, e.Message, e.Status)
}

// noCapacityCodes are the error codes that mean that the cloud cannot start the
// instance in this data centre at present.
var noCapacityCodes = map[string]bool{
	"InsufficientInstanceCapacity":  true,
	"InsufficientHostCapacity":      true,
	"InstanceLimitExceeded":         true,
	"MaxSpotInstanceCountExceeded":  true,
	"SpotMaxPriceTooLow":            true,
	"Unsupported":                   true,
	"VcpuLimitExceeded":             true,
	"InsufficientAddressCapacity":   true,
	"InsufficientReservedInstances": true,
}

const (
	codeUnknownInstance = "InvalidInstanceID.NotFound"
	codeThrottled       = "RequestLimitExceeded"
)

// callRead makes a call that only reads, so a failed call had no effect.
func (c *Cloud) callRead(ctx context.Context, form url.Values, out any) error {
	if err := c.call(ctx, form, out); err != nil {
		return withCause(provider.ErrUnavailable, err)
	}
	return nil
}

// callWrite makes a call that changes something. It maps a failure to the sentinel
// of package provider that says whether the call may have taken effect.
func (c *Cloud) callWrite(ctx context.Context, form url.Values, out any) error {
	ctx, tracker := onesend.TrackWrites(ctx)
	err := c.call(ctx, form, out)
	if err == nil {
		return nil
	}
	var apiErr *apiError
	if errors.As(err, &apiErr) {
		return withCause(sentinelFor(apiErr), err)
	}
	if tracker.NothingWritten() {
		return withCause(provider.ErrUnavailable, err)
	}
	return withCause(provider.ErrUnknownOutcome, err)
}

func sentinelFor(e *apiError) error {
	switch {
	case noCapacityCodes[e.Code]:
		return provider.ErrRefused
	case e.Code == codeUnknownInstance:
		return provider.ErrNotFound
	case e.Code == codeThrottled:
		return provider.ErrUnavailable
	case e.Status >= 400 && e.Status < 500:
		return provider.ErrUnavailable
	default:
		return provider.ErrUnknownOutcome
	}
}

func (c *Cloud) call(ctx context.Context, form url.Values, out any) error {
	req, err := c.signedRequest(ctx, form)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return decodeAPIError(resp.StatusCode, body)
	}
	return xml.Unmarshal(body, out)
}

func decodeAPIError(status int, body []byte) error {
	var e errorResponse
	_ = xml.Unmarshal(body, &e)
	return &apiError{Status: status, Code: e.Code, Message: e.Message}
}

// signedRequest returns an HTTP request signed with AWS Signature Version 4.
func (c *Cloud) signedRequest(ctx context.Context, form url.Values) (*http.Request, error) {
	body := form.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(c.cfg.Endpoint, "/")+"/", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded; charset=utf-8")
	creds, err := c.credentials.Retrieve(ctx)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256([]byte(body))
	signer := v4.NewSigner()
	return req, signer.SignHTTP(ctx, creds, req, hex.EncodeToString(sum[:]), signingName, c.cfg.Region, time.Now())
}

func withCause(sentinel, cause error) error {
	return merry.Wrap(sentinel, merry.WithCause(cause), merry.NoCaptureStack())
}
