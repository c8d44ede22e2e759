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
	signingName  = "ec2"
	maxReplySize = 16 << 20
)

// apiError is an answer that is not a success.
type apiError struct {
	Status  int
	Code    string
	Message string
}

func (e *apiError) Error() string {
	return fmt.Sprintf("%s: %s (status %d)", e.Code, e.Message, e.Status)
}

// noCapacity are the answers to an order that cannot be filled here and now.
var noCapacity = map[string]bool{
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

// read makes a call without effect.
func (c *Cloud) read(ctx context.Context, form url.Values, out any) error {
	if err := c.call(ctx, form, out); err != nil {
		return wrap(provider.ErrUnavailable, err)
	}
	return nil
}

// write makes a call with an effect and maps its failure to what it proves.
func (c *Cloud) write(ctx context.Context, form url.Values, out any) error {
	ctx, sent := onesend.Track(ctx)
	err := c.call(ctx, form, out)
	if err == nil {
		return nil
	}
	var answer *apiError
	if errors.As(err, &answer) {
		return wrap(sentinelOf(answer), err)
	}
	if sent.Nothing() {
		return wrap(provider.ErrUnavailable, err)
	}
	return wrap(provider.ErrUnknownOutcome, err)
}

func sentinelOf(e *apiError) error {
	switch {
	case noCapacity[e.Code]:
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
	req, err := c.request(ctx, form)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplySize))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return readAPIError(resp.StatusCode, body)
	}
	return xml.Unmarshal(body, out)
}

func readAPIError(status int, body []byte) error {
	var e errorResponse
	_ = xml.Unmarshal(body, &e)
	return &apiError{Status: status, Code: e.Code, Message: e.Message}
}

// request returns a signed request (AWS Signature Version 4).
func (c *Cloud) request(ctx context.Context, form url.Values) (*http.Request, error) {
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

func wrap(sentinel, cause error) error {
	return merry.Wrap(sentinel, merry.WithCause(cause), merry.NoCaptureStack())
}
