// Package ec2cloud implements provider.Cloud with the EC2 Query API. No request
// is retried; a list that spans several pages takes one request a page.
package ec2cloud

import (
	"context"
	"fmt"
	"net/url"
	"sort"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/credentials"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/onesend"
)

const (
	apiVersion         = "2016-11-15"
	productDescription = "Linux/UNIX"
	spotMarketType     = "spot"
	instancesPerPage   = 1000
	maxPages           = 100 // of one list; further pages are not read
)

// Config locates the EC2 API and holds the credentials for it, and the image to
// start.
type Config struct {
	Endpoint  string // base URL
	Region    string
	AccessKey string
	SecretKey string
	ImageID   string
	// OnDemandPrices are the list prices of on-demand instances, which the Query
	// API does not return.
	OnDemandPrices []provider.Price
	Timeout        time.Duration // of one call
}

// Cloud is a client of the EC2 API in one region.
type Cloud struct {
	cfg         Config
	http        *onesend.Client
	credentials credentials.StaticCredentialsProvider
}

var _ provider.Cloud = (*Cloud)(nil)

// New returns a client. It sends no request.
func New(c Config) *Cloud {
	return &Cloud{
		cfg:         c,
		http:        onesend.NewClient(c.Timeout),
		credentials: credentials.NewStaticCredentialsProvider(c.AccessKey, c.SecretKey, ""),
	}
}

// Start starts one instance. It returns provider.ErrRefused if there is no
// capacity. After provider.ErrUnknownOutcome the same request can be sent again
// with the same token: it does not start a second instance.
func (c *Cloud) Start(ctx context.Context, request provider.LaunchRequest) (provider.Instance, error) {
	form := actionForm("RunInstances")
	form.Set("ImageId", c.cfg.ImageID)
	form.Set("InstanceType", request.Class)
	form.Set("MinCount", "1")
	form.Set("MaxCount", "1")
	form.Set("ClientToken", request.Token)
	form.Set("Placement.AvailabilityZone", string(request.DataCentre))
	if request.Market == provider.Reclaimable {
		form.Set("InstanceMarketOptions.MarketType", spotMarketType)
	}
	setTagSpecification(form, request.Tags)
	var out runInstancesResponse
	if err := c.callWrite(ctx, form, &out); err != nil {
		return provider.Instance{}, err
	}
	if len(out.Instances) != 1 {
		return provider.Instance{}, withCause(provider.ErrUnknownOutcome, fmt.Errorf("RunInstances returned %d instances, want 1", len(out.Instances)))
	}
	return out.Instances[0].toInstance(), nil
}

func setTagSpecification(form url.Values, tags map[string]string) {
	if len(tags) == 0 {
		return
	}
	form.Set("TagSpecification.1.ResourceType", "instance")
	for n, k := range sortedKeys(tags) {
		prefix := fmt.Sprintf("TagSpecification.1.Tag.%d.", n+1)
		form.Set(prefix+"Key", k)
		form.Set(prefix+"Value", tags[k])
	}
}

// Stop terminates an instance. It returns provider.ErrNotFound if there is none.
func (c *Cloud) Stop(ctx context.Context, id entity.InstanceID) error {
	form := actionForm("TerminateInstances")
	form.Set("InstanceId.1", string(id))
	var out terminateInstancesResponse
	return c.callWrite(ctx, form, &out)
}

// Prices returns the current prices of reclaimable instances and the configured
// prices of on-demand instances.
func (c *Cloud) Prices(ctx context.Context) ([]provider.Price, error) {
	form := actionForm("DescribeSpotPriceHistory")
	form.Set("ProductDescription.1", productDescription)
	form.Set("StartTime", time.Now().UTC().Format(time.RFC3339))
	var out []provider.Price
	for range maxPages {
		var page describeSpotPriceHistoryResponse
		if err := c.callRead(ctx, form, &page); err != nil {
			return nil, err
		}
		for _, p := range page.Prices {
			price, err := p.toPrice()
			if err != nil {
				return nil, withCause(provider.ErrUnavailable, err)
			}
			out = append(out, price)
		}
		if page.NextToken == "" {
			break
		}
		form.Set("NextToken", page.NextToken)
	}
	return append(out, c.cfg.OnDemandPrices...), nil
}

// Instances lists the instances that have all the given tags. The list may lag
// behind recent starts and stops.
func (c *Cloud) Instances(ctx context.Context, tags map[string]string) ([]provider.Instance, error) {
	form := actionForm("DescribeInstances")
	form.Set("MaxResults", strconv.Itoa(instancesPerPage))
	for n, k := range sortedKeys(tags) {
		prefix := fmt.Sprintf("Filter.%d.", n+1)
		form.Set(prefix+"Name", "tag:"+k)
		form.Set(prefix+"Value.1", tags[k])
	}
	var out []provider.Instance
	for range maxPages {
		var page describeInstancesResponse
		if err := c.callRead(ctx, form, &page); err != nil {
			return nil, err
		}
		for _, r := range page.Reservations {
			for _, i := range r.Instances {
				out = append(out, i.toInstance())
			}
		}
		if page.NextToken == "" {
			break
		}
		form.Set("NextToken", page.NextToken)
	}
	return out, nil
}

func actionForm(name string) url.Values {
	return url.Values{"Action": {name}, "Version": {apiVersion}}
}

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
