// Package quickstart runs a complete small system in one process on the loopback
// interface: stand-ins of the platform and of the backend servers, and several
// daemons.
package quickstart

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/logging"
	"github.com/gooseberryslip/gooseberryslip/internal/node"
	"github.com/gooseberryslip/gooseberryslip/internal/peer"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/dynamo"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/ec2cloud"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/s3store"
	"github.com/gooseberryslip/gooseberryslip/internal/settings"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
)

const (
	region = "local"
	// startTimeout bounds the time from the start of the daemons until the service
	// documents are in force on all of them.
	startTimeout = 20 * time.Second
	// callTimeout bounds one call to a stand-in of the platform.
	callTimeout = 3 * time.Second
	// certificateValidity is how long the temporary peer certificates are valid.
	certificateValidity = 30 * 24 * time.Hour
)

// Options configures a cluster.
type Options struct {
	Daemons   int   // number of daemons
	Documents fs.FS // service documents, *.toml
	Engine    standin.EngineConfig
	// Cloud configures the instances that services in manage mode can start. Each
	// instance runs an engine that is configured by Engine.
	Cloud     standin.CloudConfig
	StopGrace time.Duration // limit of a planned stop; 0: the default
	Log       io.Writer     // receives the logs of all daemons
	LogLevel  string        // "": info
	// Operators authenticates the callers of the administration API.
	Operators adminapi.Operators
}

// Cluster is a running system of stand-ins and daemons.
type Cluster struct {
	Platform *standin.Platform
	Nodes    []*node.Node
	Services []entity.Service

	options       Options
	authority     *peer.Authority
	cancelDaemons []context.CancelFunc
	wg            sync.WaitGroup
}

// StartCluster starts a cluster and returns once its service documents are in force on
// every daemon.
func StartCluster(ctx context.Context, o Options) (*Cluster, error) {
	docs, err := readDocuments(o.Documents)
	if err != nil {
		return nil, err
	}
	c := &Cluster{options: o}
	c.authority, err = peer.NewSelfSignedAuthority(certificateValidity)
	if err != nil {
		return nil, err
	}
	c.Platform, err = standin.StartPlatform(ctx, standin.Config{Cloud: o.Cloud, CloudEngine: &o.Engine})
	if err != nil {
		return nil, err
	}
	if err := c.startServices(ctx, docs); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// startServices starts the backend servers and the daemons, applies the documents
// and waits until every daemon serves them.
func (c *Cluster) startServices(ctx context.Context, docs []document) error {
	for i := range docs {
		if err := c.startBackendServers(&docs[i]); err != nil {
			return err
		}
	}
	for range c.options.Daemons {
		if err := c.AddDaemon(ctx); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, d := range docs {
		c.Services = append(c.Services, *d.service)
		if err := c.ApplyDocument(ctx, d.service.Name, d.text, 0); err != nil {
			return err
		}
	}
	return c.awaitReady(ctx)
}

// startBackendServers starts a stand-in for each backend server of a document and
// writes its address into the document.
func (c *Cluster) startBackendServers(d *document) error {
	for _, b := range append([]entity.BackendServer(nil), d.service.BackendServers...) {
		address, err := c.startBackendServer(d.service.Kind, b)
		if err != nil {
			return err
		}
		d.replaceAddress(b.ID, address)
	}
	return nil
}

// startBackendServer starts the stand-in of one backend server and returns its
// address.
func (c *Cluster) startBackendServer(kind entity.BackendKind, b entity.BackendServer) (string, error) {
	if kind == entity.KindPlain {
		return c.Platform.AddPlainServer(standin.PlainServerConfig{ID: string(b.ID), Slots: b.Slots})
	}
	e := c.options.Engine
	e.ID, e.Slots, e.ChecksFences = string(b.ID), b.Slots, b.ChecksFences
	return c.Platform.AddEngine(e)
}

// AddDaemon starts another daemon. Daemons are assigned to data centres in
// rotation.
func (c *Cluster) AddDaemon(ctx context.Context) error {
	s := c.daemonSettings(len(c.Nodes))
	tls, err := c.authority.TLSConfig()
	if err != nil {
		return err
	}
	addresses := c.Platform.Addresses()
	log, err := logging.New(c.options.Log, logging.Options{
		Level: s.Log.Level, Format: s.Log.Format, Process: s.Instance.ID, DataCentre: s.Instance.DataCentre,
	})
	if err != nil {
		return err
	}
	n, err := node.New(node.Config{
		Settings: s,
		PeerTLS:  tls,
		Table: dynamo.New(dynamo.Config{
			Endpoint: addresses.Table, Region: region, AccessKey: "quickstart", SecretKey: "quickstart",
			TableName: s.Table.Name, Timeout: callTimeout,
		}),
		Objects: s3store.New(s3store.Config{
			Endpoint: addresses.Objects, Region: region, AccessKey: "quickstart", SecretKey: "quickstart",
			Bucket: s.ObjectStore.Bucket, Timeout: callTimeout,
		}),
		Cloud: ec2cloud.New(ec2cloud.Config{
			Endpoint: addresses.Cloud, Region: region, AccessKey: "quickstart", SecretKey: "quickstart", Timeout: callTimeout,
		}),
		Log:       log,
		Operators: c.options.Operators,
	})
	if err != nil {
		return err
	}
	c.Nodes = append(c.Nodes, n)
	ctx, cancel := context.WithCancel(ctx)
	c.cancelDaemons = append(c.cancelDaemons, cancel)
	c.wg.Go(func() {
		if err := n.Run(ctx); err != nil {
			log.Logger().WithError(err).Error("daemon failed")
		}
	})
	return nil
}

// daemonSettings returns the settings of daemon i, counted from 0. The first
// daemon is the seed of the others.
func (c *Cluster) daemonSettings(i int) *settings.Settings {
	const dataCentres = 3
	s := settings.Default()
	s.Instance.ID = entity.InstanceID(fmt.Sprintf("daemon-%d", i+1))
	s.Instance.Region = region
	s.Instance.DataCentre = entity.DataCentreID(fmt.Sprintf("local-%c", 'a'+i%dataCentres))
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	if i > 0 {
		s.Peers.Seeds = []string{c.Nodes[0].PeerAddress()}
	}
	if c.options.LogLevel != "" {
		s.Log.Level = c.options.LogLevel
	}
	if c.options.StopGrace > 0 {
		s.Drain.Grace = c.options.StopGrace
	}
	return s
}

// ApplyDocument replaces a service document through the first daemon, provided
// that its revision is still readRevision.
func (c *Cluster) ApplyDocument(ctx context.Context, name entity.ServiceName, text string, readRevision uint64) error {
	out, err := c.Nodes[0].Daemon().Apply(ctx, configuration.Change{
		Operation: uuid.NewString(), Service: name, Text: text, ReadRevision: readRevision, Author: "quickstart",
	})
	if err != nil {
		return merry.Prependf(err, "apply the document of %s", name)
	}
	if out.Status != configuration.Applied {
		return merry.Errorf("the document of %s was not applied: %s %v", name, out.Status, out.Problems)
	}
	return nil
}

// awaitReady waits until every daemon has the configuration and knows all others.
func (c *Cluster) awaitReady(ctx context.Context) error {
	const pollInterval = 10 * time.Millisecond
	for {
		if c.allReady() {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return merry.New("the daemons did not discover each other and load the documents in time")
		}
	}
}

// allReady reports whether every daemon has a current configuration with all
// services and knows all other daemons.
func (c *Cluster) allReady() bool {
	for _, n := range c.Nodes {
		v := n.Daemon().View()
		if !v.Current || len(v.Services) < len(c.Services) || len(v.Members) < len(c.Nodes) {
			return false
		}
	}
	return true
}

// StopDaemon starts a planned stop of daemon i, counted from 0, and waits for its
// end.
func (c *Cluster) StopDaemon(i int) {
	c.cancelDaemons[i]()
	<-c.Nodes[i].Daemon().Done()
}

// Close stops all daemons, waits for their end and closes the stand-ins.
func (c *Cluster) Close() {
	for _, cancel := range c.cancelDaemons {
		cancel()
	}
	c.wg.Wait()
	c.Platform.Close()
}
