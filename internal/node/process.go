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
	// platformCallTimeout is the time limit that the clients of the table, the
	// object store and the cloud set for one call.
	platformCallTimeout = 4 * time.Second
	// noticePollInterval is the time between two polls for a reclaim notice.
	noticePollInterval = time.Second
)

// FromSettings builds a node with clients of the table, the object store and the
// cloud that the settings name.
func FromSettings(s *settings.Settings, log *logging.Log, version string) (*Node, error) {
	operators, err := settings.LoadOperators(s.Operators.Credentials)
	if err != nil {
		return nil, err
	}
	table, err := newTableClient(s)
	if err != nil {
		return nil, err
	}
	objects, err := newObjectClient(s)
	if err != nil {
		return nil, err
	}
	cloud, err := newCloudClient(s)
	if err != nil {
		return nil, err
	}
	return New(Config{
		Settings: s, Table: table, Objects: objects, Cloud: cloud,
		Log: log, Operators: operators, Version: version,
	})
}

// newTableClient returns the client of the table service.
func newTableClient(s *settings.Settings) (provider.Table, error) {
	keys, err := loadCredentials(s.Table.Credentials)
	if err != nil {
		return nil, err
	}
	return dynamo.New(dynamo.Config{
		Endpoint: s.Table.Endpoint, Region: s.Table.Region, TableName: s.Table.Name,
		AccessKey: keys.AccessKeyID, SecretKey: keys.SecretAccessKey, Timeout: platformCallTimeout,
	}), nil
}

// newObjectClient returns the client of the object store.
func newObjectClient(s *settings.Settings) (provider.ObjectStore, error) {
	keys, err := loadCredentials(firstNonEmpty(s.ObjectStore.Credentials, s.Table.Credentials))
	if err != nil {
		return nil, err
	}
	return s3store.New(s3store.Config{
		Endpoint: s.ObjectStore.Endpoint, Region: s.ObjectStore.Region, Bucket: s.ObjectStore.Bucket,
		AccessKey: keys.AccessKeyID, SecretKey: keys.SecretAccessKey, Timeout: platformCallTimeout,
	}), nil
}

// newCloudClient returns the client of the cloud API, or nil if the settings name
// none.
func newCloudClient(s *settings.Settings) (provider.Cloud, error) {
	if s.Cloud.Endpoint == "" {
		return nil, nil
	}
	keys, err := loadCredentials(firstNonEmpty(s.Cloud.Credentials, s.Table.Credentials))
	if err != nil {
		return nil, err
	}
	return ec2cloud.New(ec2cloud.Config{
		Endpoint: s.Cloud.Endpoint, Region: s.Table.Region, ImageID: s.Cloud.Image,
		OnDemandPrices: onDemandPrices(s.Cloud.OnDemand),
		AccessKey:      keys.AccessKeyID, SecretKey: keys.SecretAccessKey, Timeout: platformCallTimeout,
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

// loadCredentials reads a credentials file. If no file is named, it returns an
// empty key, with which calls are then signed.
func loadCredentials(file string) (settings.Credentials, error) {
	if file == "" {
		return settings.Credentials{}, nil
	}
	return settings.LoadCredentials(file)
}

// watchReclaimNotice polls the metadata service for a reclaim notice for this
// instance until ctx ends, and passes notices to the daemon. It does nothing if
// the settings name no metadata service.
func (n *Node) watchReclaimNotice(ctx context.Context) {
	url := n.cfg.Settings.Metadata.URL
	if url == "" {
		return
	}
	reclaimnotice.Watch(ctx, url, noticePollInterval, n.daemon.HandleReclaimNotice)
}
