// Package quickstart runs a whole small system in one process on loopback:
// stand-ins of the platform and of the backend servers, and several daemons.
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
	// startTimeout bounds the time until the documents are in force.
	startTimeout = 20 * time.Second
	// callTimeout bounds a call of the platform's stand-ins.
	callTimeout = 3 * time.Second
	// certificateLife is how long the throw-away certificates are valid.
	certificateLife = 30 * 24 * time.Hour
)

// Options says what to run.
type Options struct {
	Daemons   int
	Documents fs.FS // service documents, *.toml
	Engine    standin.EngineConfig
	// Cloud offers instances for services in manage mode; each runs an engine
	// as in Engine.
	Cloud    standin.CloudConfig
	Grace    time.Duration // of a planned stop; 0: the default
	Log      io.Writer     // where the daemons' logs go
	LogLevel string        // "": info
	// Operators may use the administration API.
	Operators adminapi.Operators
}

// Cluster is a running small system.
type Cluster struct {
	Platform *standin.Platform
	Nodes    []*node.Node
	Services []entity.Service

	options   Options
	authority *peer.Authority
	stops     []context.CancelFunc
	wg        sync.WaitGroup
}

// Start runs a small system and returns once its documents are in force on
// every daemon.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	docs, err := readDocuments(o.Documents)
	if err != nil {
		return nil, err
	}
	c := &Cluster{options: o}
	c.authority, err = peer.SelfSigned(certificateLife)
	if err != nil {
		return nil, err
	}
	c.Platform, err = standin.Start(ctx, standin.Config{Cloud: o.Cloud, CloudEngine: &o.Engine})
	if err != nil {
		return nil, err
	}
	if err := c.start(ctx, docs); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// start runs the backend servers and the daemons and applies the documents.
func (c *Cluster) start(ctx context.Context, docs []document) error {
	for i := range docs {
		if err := c.startBackends(&docs[i]); err != nil {
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
		if err := c.Apply(ctx, d.service.Name, d.text, 0); err != nil {
			return err
		}
	}
	return c.awaitServices(ctx)
}

// startBackends runs stand-ins for the backend servers of a document.
func (c *Cluster) startBackends(d *document) error {
	for _, b := range append([]entity.BackendServer(nil), d.service.BackendServers...) {
		address, err := c.startBackend(d.service.Kind, b)
		if err != nil {
			return err
		}
		d.readdress(b.ID, address)
	}
	return nil
}

// startBackend runs one stand-in and returns its address.
func (c *Cluster) startBackend(kind entity.BackendKind, b entity.BackendServer) (string, error) {
	if kind == entity.KindPlain {
		return c.Platform.AddPlain(standin.PlainConfig{ID: string(b.ID), Slots: b.Slots})
	}
	e := c.options.Engine
	e.ID, e.Slots, e.ChecksFences = string(b.ID), b.Slots, b.ChecksFences
	return c.Platform.AddEngine(e)
}

// AddDaemon starts another daemon. Data centres take turns.
func (c *Cluster) AddDaemon(ctx context.Context) error {
	s := c.daemonSettings(len(c.Nodes))
	tls, err := c.authority.TLS()
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
	c.stops = append(c.stops, cancel)
	c.wg.Go(func() {
		if err := n.Run(ctx); err != nil {
			log.Logger().WithError(err).Error("daemon failed")
		}
	})
	return nil
}

// daemonSettings returns the settings of the i-th daemon. The first one is the
// seed of the others.
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
	if c.options.Grace > 0 {
		s.Drain.Grace = c.options.Grace
	}
	return s
}

// Apply changes a service document through the first daemon.
func (c *Cluster) Apply(ctx context.Context, name entity.ServiceName, text string, read uint64) error {
	out, err := c.Nodes[0].Daemon().Apply(ctx, configuration.Change{
		Operation: uuid.NewString(), Service: name, Text: text, ReadRevision: read, Author: "quickstart",
	})
	if err != nil {
		return merry.Prependf(err, "apply the document of %s", name)
	}
	if out.Status != configuration.Applied {
		return merry.Errorf("the document of %s was not applied: %s %v", name, out.Status, out.Problems)
	}
	return nil
}

// awaitServices waits until every daemon serves and knows the others.
func (c *Cluster) awaitServices(ctx context.Context) error {
	const step = 10 * time.Millisecond
	for {
		if c.ready() {
			return nil
		}
		select {
		case <-time.After(step):
		case <-ctx.Done():
			return merry.New("the daemons did not come together in time")
		}
	}
}

// ready reports whether every daemon serves and knows the others.
func (c *Cluster) ready() bool {
	for _, n := range c.Nodes {
		v := n.Daemon().View()
		if !v.Current || len(v.Services) < len(c.Services) || len(v.Members) < len(c.Nodes) {
			return false
		}
	}
	return true
}

// Stop starts a planned stop of the i-th daemon and waits for its end.
func (c *Cluster) Stop(i int) {
	c.stops[i]()
	<-c.Nodes[i].Daemon().Done()
}

// Close stops everything.
func (c *Cluster) Close() {
	for _, stop := range c.stops {
		stop()
	}
	c.wg.Wait()
	c.Platform.Close()
}
