package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
)

// Config configures a Platform. Backend servers without an ID get one from their
// position: engine-1, plain-1 and so on.
type Config struct {
	Engines      []EngineConfig
	PlainServers []PlainServerConfig
	Cloud        CloudConfig
	// CloudEngine, if set, configures the engine that runs on each instance that the
	// cloud starts. Cloud.OnStart, if set, takes precedence.
	CloudEngine *EngineConfig
}

// BackendEndpoint is the address of a stand-in backend server.
type BackendEndpoint struct {
	ID      string `json:"id"`
	Address string `json:"address"` // host:port
}

// Addresses holds the addresses of a Platform's services and of the backend servers
// that it starts with.
type Addresses struct {
	Table        string            `json:"table"`   // URL
	Objects      string            `json:"objects"` // URL
	Cloud        string            `json:"cloud"`   // URL
	Control      string            `json:"control"` // URL
	Engines      []BackendEndpoint `json:"engines"`
	PlainServers []BackendEndpoint `json:"plains"`
}

// Platform runs a table, an object store, a cloud, engines and plain backend
// servers, each on its own loopback port of this process.
//
// A further port, the control port, serves GET /_addresses, and POST /_restart
// {"id":"…"} and POST /_kill {"id":"…"} for backend servers.
type Platform struct {
	Table   *Table
	Objects *ObjectStore
	Cloud   *Cloud

	mu        sync.Mutex
	addresses Addresses
	backends  map[string]*backendServer // by ID
	servers   []*Server                 // of the table, the object store, the cloud and the control port
}

// backendServer is an engine or a plain backend server, with the server that serves
// it. One of engine and plain is nil.
type backendServer struct {
	engine *Engine
	plain  *PlainServer
	server *Server
}

// StartPlatform starts a Platform and opens all its ports. The platform closes when ctx is
// done.
func StartPlatform(ctx context.Context, cfg Config) (*Platform, error) {
	p := &Platform{Table: NewTable(), Objects: NewObjectStore(), backends: make(map[string]*backendServer)}
	if cfg.Cloud.OnStart == nil && cfg.CloudEngine != nil {
		cfg.Cloud.OnStart = p.instanceStarter(*cfg.CloudEngine)
	}
	p.Cloud = NewCloud(cfg.Cloud)
	if err := p.openPorts(cfg); err != nil {
		p.Close()
		return nil, err
	}
	context.AfterFunc(ctx, p.Close)
	return p, nil
}

func (p *Platform) openPorts(cfg Config) error {
	services := []struct {
		handler http.Handler
		url     *string
	}{
		{p.Table, &p.addresses.Table},
		{p.Objects, &p.addresses.Objects},
		{p.Cloud, &p.addresses.Cloud},
		{p.controlHandler(), &p.addresses.Control},
	}
	for _, service := range services {
		server, err := StartServer(service.handler)
		if err != nil {
			return err
		}
		p.servers = append(p.servers, server)
		*service.url = server.URL()
	}
	for n, engineConfig := range cfg.Engines {
		if engineConfig.ID == "" {
			engineConfig.ID = fmt.Sprintf("engine-%d", n+1)
		}
		address, err := p.AddEngine(engineConfig)
		if err != nil {
			return err
		}
		p.addresses.Engines = append(p.addresses.Engines, BackendEndpoint{ID: engineConfig.ID, Address: address})
	}
	for n, plainConfig := range cfg.PlainServers {
		if plainConfig.ID == "" {
			plainConfig.ID = fmt.Sprintf("plain-%d", n+1)
		}
		address, err := p.AddPlainServer(plainConfig)
		if err != nil {
			return err
		}
		p.addresses.PlainServers = append(p.addresses.PlainServers, BackendEndpoint{ID: plainConfig.ID, Address: address})
	}
	return nil
}

// Addresses returns the addresses of the platform's services and of the backend
// servers in its configuration. Backend servers added later aren't included.
func (p *Platform) Addresses() Addresses { return p.addresses }

// AddEngine starts another engine and returns its host:port. A crash of the engine
// closes the port until Restart.
func (p *Platform) AddEngine(cfg EngineConfig) (string, error) {
	b := &backendServer{}
	cfg.OnCrash = b.closePortThen(cfg.OnCrash)
	b.engine = NewEngine(cfg)
	return p.addBackend(cfg.ID, b, b.engine)
}

// AddPlainServer starts another plain backend server and returns its host:port. A crash of
// the server closes the port until Restart.
func (p *Platform) AddPlainServer(cfg PlainServerConfig) (string, error) {
	b := &backendServer{}
	cfg.OnCrash = b.closePortThen(cfg.OnCrash)
	b.plain = NewPlainServer(cfg)
	return p.addBackend(cfg.ID, b, b.plain)
}

// closePortThen returns the function to run on a crash: it closes the server's port
// and then calls onCrash, if that isn't nil.
func (b *backendServer) closePortThen(onCrash func()) func() {
	return func() {
		b.server.Kill()
		if onCrash != nil {
			onCrash()
		}
	}
}

func (p *Platform) addBackend(id string, b *backendServer, h http.Handler) (string, error) {
	b.server = newServer(h)
	if err := b.server.Start(); err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backends[id] = b
	return b.server.Address(), nil
}

// Engine returns the engine with an ID, or nil if there is none.
func (p *Platform) Engine(id string) *Engine {
	if b := p.findBackend(id); b != nil {
		return b.engine
	}
	return nil
}

// PlainServer returns the plain backend server with an ID, or nil if there is none.
func (p *Platform) PlainServer(id string) *PlainServer {
	if b := p.findBackend(id); b != nil {
		return b.plain
	}
	return nil
}

// Kill stops a backend server abruptly, as a crash does. An unknown ID is ignored.
func (p *Platform) Kill(id string) {
	b := p.findBackend(id)
	if b == nil {
		return
	}
	if b.engine != nil {
		b.engine.Crash()
	}
	b.server.Kill()
}

// Restart starts a killed or crashed backend server again, on the same port.
func (p *Platform) Restart(id string) error {
	b := p.findBackend(id)
	if b == nil {
		return fmt.Errorf("no backend server %q", id)
	}
	if b.engine != nil {
		b.engine.Restart()
	}
	if b.plain != nil {
		b.plain.Restart()
	}
	return b.server.Start()
}

// Close terminates the cloud's instances and closes all ports.
func (p *Platform) Close() {
	p.Cloud.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.Kill()
	}
	for _, b := range p.backends {
		b.server.Kill()
	}
}

func (p *Platform) findBackend(id string) *backendServer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backends[id]
}

// instanceStarter returns a CloudConfig.OnStart that runs an engine on each instance,
// with the instance's ID as the engine's.
func (p *Platform) instanceStarter(cfg EngineConfig) func(CloudInstance) (string, func()) {
	return func(i CloudInstance) (string, func()) {
		instanceConfig := cfg
		instanceConfig.ID = i.ID
		address, err := p.AddEngine(instanceConfig)
		if err != nil {
			return "", nil
		}
		return address, func() { p.Kill(i.ID) }
	}
}

// backendRequest is the body of POST /_restart and POST /_kill.
type backendRequest struct {
	ID string `json:"id"`
}

func (p *Platform) controlHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/_addresses", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Addresses())
	}).Methods(http.MethodGet)
	r.HandleFunc("/_restart", p.backendHandler(p.Restart)).Methods(http.MethodPost)
	r.HandleFunc("/_kill", p.backendHandler(func(id string) error {
		p.Kill(id)
		return nil
	})).Methods(http.MethodPost)
	return r
}

func (p *Platform) backendHandler(action func(string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req backendRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := action(req.ID); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}
