package node

import (
	"context"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/logging"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/dynamo"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/ec2cloud"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/reclaimnotice"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/s3store"
	"github.com/gooseberryslip/gooseberryslip/internal/settings"
)

const (
	// platformTimeout bounds one call of the platform.
	platformTimeout = 4 * time.Second
	// noticeInterval is the time between looks for a reclaim notice.
	noticeInterval = time.Second
)

// FromSettings builds a node with clients of the platform that the settings
// name.
func FromSettings(s *settings.Settings, log *logging.Log, version string) (*Node, error) {
	operators, err := settings.LoadOperators(s.Operators.Credentials)
	if err != nil {
		return nil, err
	}
	table, err := tableClient(s)
	if err != nil {
		return nil, err
	}
	objects, err := objectClient(s)
	if err != nil {
		return nil, err
	}
	cloud, err := cloudClient(s)
	if err != nil {
		return nil, err
	}
	return New(Config{
		Settings: s, Table: table, Objects: objects, Cloud: cloud,
		Log: log, Operators: operators, Version: version,
	})
}

// tableClient returns the client of the table service.
func tableClient(s *settings.Settings) (provider.Table, error) {
	keys, err := credentials(s.Table.Credentials)
	if err != nil {
		return nil, err
	}
	return dynamo.New(dynamo.Config{
		Endpoint: s.Table.Endpoint, Region: s.Table.Region, TableName: s.Table.Name,
		AccessKey: keys.AccessKeyID, SecretKey: keys.SecretAccessKey, Timeout: platformTimeout,
	}), nil
}

// objectClient returns the client of the object store.
func objectClient(s *settings.Settings) (provider.ObjectStore, error) {
	keys, err := credentials(orElse(s.ObjectStore.Credentials, s.Table.Credentials))
	if err != nil {
		return nil, err
	}
	return s3store.New(s3store.Config{
		Endpoint: s.ObjectStore.Endpoint, Region: s.ObjectStore.Region, Bucket: s.ObjectStore.Bucket,
		AccessKey: keys.AccessKeyID, SecretKey: keys.SecretAccessKey, Timeout: platformTimeout,
	}), nil
}

// cloudClient returns the client of the cloud API, or nil if none is named.
func cloudClient(s *settings.Settings) (provider.Cloud, error) {
	if s.Cloud.Endpoint == "" {
		return nil, nil
	}
	keys, err := credentials(orElse(s.Cloud.Credentials, s.Table.Credentials))
	if err != nil {
		return nil, err
	}
	return ec2cloud.New(ec2cloud.Config{
		Endpoint: s.Cloud.Endpoint, Region: s.Table.Region, ImageID: s.Cloud.Image,
		OnDemandPrices: onDemandPrices(s.Cloud.OnDemand),
		AccessKey:      keys.AccessKeyID, SecretKey: keys.SecretAccessKey, Timeout: platformTimeout,
	}), nil
}

// onDemandPrices converts the list prices of the settings.
func onDemandPrices(list []settings.OnDemandPrice) []provider.Price {
	var out []provider.Price
	for _, p := range list {
		out = append(out, provider.Price{
			DataCentre: p.DataCentre, Class: p.Class, Market: provider.OnDemand, PerHour: p.PerHour,
		})
	}
	return out
}

// credentials reads a credentials file; without one, the calls are signed with
// an empty key.
func credentials(file string) (settings.Credentials, error) {
	if file == "" {
		return settings.Credentials{}, nil
	}
	return settings.LoadCredentials(file)
}

// watchNotice hands announced reclaims of this instance to the daemon until
// the context ends.
func (n *Node) watchNotice(ctx context.Context) {
	url := n.cfg.Settings.Metadata.URL
	if url == "" {
		return
	}
	reclaimnotice.Watch(ctx, url, noticeInterval, n.daemon.Notice)
}
