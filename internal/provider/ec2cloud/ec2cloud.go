// Package ec2cloud is a client of EC2's published Query protocol, for the few
// actions that the system uses. One call is one send: nothing in it repeats a
// call.
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
	apiVersion   = "2016-11-15"
	product      = "Linux/UNIX"
	spotMarket   = "spot"
	listPageSize = 1000
	maxPages     = 100
)

// Config says where the cloud is and what it starts.
type Config struct {
	Endpoint  string // base URL
	Region    string
	AccessKey string
	SecretKey string
	ImageID   string
	// OnDemandPrices are the list prices, which the Query protocol does not
	// tell.
	OnDemandPrices []provider.Price
	Timeout        time.Duration // of one call
}

// Cloud is the client.
type Cloud struct {
	cfg         Config
	http        *onesend.Client
	credentials credentials.StaticCredentialsProvider
}

var _ provider.Cloud = (*Cloud)(nil)

// New returns a client. It makes no call.
func New(c Config) *Cloud {
	return &Cloud{
		cfg:         c,
		http:        onesend.NewClient(c.Timeout),
		credentials: credentials.NewStaticCredentialsProvider(c.AccessKey, c.SecretKey, ""),
	}
}

// Start orders one instance. It returns provider.ErrRefused when there is no
// capacity. After provider.ErrUnknownOutcome the same order with the same
// token is harmless.
func (c *Cloud) Start(ctx context.Context, o provider.Order) (provider.Instance, error) {
	form := action("RunInstances")
	form.Set("ImageId", c.cfg.ImageID)
	form.Set("InstanceType", o.Class)
	form.Set("MinCount", "1")
	form.Set("MaxCount", "1")
	form.Set("ClientToken", o.Token)
	form.Set("Placement.AvailabilityZone", string(o.DataCentre))
	if o.Market == provider.Reclaimable {
		form.Set("InstanceMarketOptions.MarketType", spotMarket)
	}
	setTags(form, o.Tags)
	var out runInstancesResponse
	if err := c.write(ctx, form, &out); err != nil {
		return provider.Instance{}, err
	}
	if len(out.Instances) != 1 {
		return provider.Instance{}, wrap(provider.ErrUnknownOutcome, fmt.Errorf("%d instances for one order", len(out.Instances)))
	}
	return out.Instances[0].instance(), nil
}

func setTags(form url.Values, tags map[string]string) {
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

// Stop terminates an instance; provider.ErrNotFound when there is none.
func (c *Cloud) Stop(ctx context.Context, id entity.InstanceID) error {
	form := action("TerminateInstances")
	form.Set("InstanceId.1", string(id))
	var out terminateInstancesResponse
	return c.write(ctx, form, &out)
}

// Prices returns the present prices of reclaimable instances and the
// configured ones of on-demand instances.
func (c *Cloud) Prices(ctx context.Context) ([]provider.Price, error) {
	form := action("DescribeSpotPriceHistory")
	form.Set("ProductDescription.1", product)
	form.Set("StartTime", time.Now().UTC().Format(time.RFC3339))
	var out []provider.Price
	for range maxPages {
		var page describeSpotPriceHistoryResponse
		if err := c.read(ctx, form, &page); err != nil {
			return nil, err
		}
		for _, p := range page.Prices {
			price, err := p.price()
			if err != nil {
				return nil, wrap(provider.ErrUnavailable, err)
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

// Instances returns the lagging list, filtered by tags.
func (c *Cloud) Instances(ctx context.Context, tags map[string]string) ([]provider.Instance, error) {
	form := action("DescribeInstances")
	form.Set("MaxResults", strconv.Itoa(listPageSize))
	for n, k := range sortedKeys(tags) {
		prefix := fmt.Sprintf("Filter.%d.", n+1)
		form.Set(prefix+"Name", "tag:"+k)
		form.Set(prefix+"Value.1", tags[k])
	}
	var out []provider.Instance
	for range maxPages {
		var page describeInstancesResponse
		if err := c.read(ctx, form, &page); err != nil {
			return nil, err
		}
		for _, r := range page.Reservations {
			for _, i := range r.Instances {
				out = append(out, i.instance())
			}
		}
		if page.NextToken == "" {
			break
		}
		form.Set("NextToken", page.NextToken)
	}
	return out, nil
}

func action(name string) url.Values {
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
