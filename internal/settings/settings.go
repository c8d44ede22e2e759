// Package settings reads and checks a daemon's settings from a TOML file,
// environment variables and flags. The settings contain no secrets: they name
// separate files from which these are read.
package settings

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/tomldoc"
)

// Settings holds all settings of a daemon. Names of files in it are absolute or
// relative to the directory of the settings file. Load makes them absolute.
type Settings struct {
	Instance    Instance    `toml:"instance"`
	Listen      Listen      `toml:"listen"`
	Peers       Peers       `toml:"peers"`
	TLS         TLS         `toml:"tls"`
	Operators   Operators   `toml:"operators"`
	Table       Table       `toml:"table"`
	ObjectStore ObjectStore `toml:"object_store"`
	Cloud       Cloud       `toml:"cloud"`
	Metadata    Metadata    `toml:"metadata"`
	Log         Log         `toml:"log"`
	Limits      Limits      `toml:"limits"`
	Drain       Drain       `toml:"drain"`

	document *tomldoc.Document // the settings file, which collects the problems
}

// Instance identifies the instance that the daemon runs on, and its location.
type Instance struct {
	ID         entity.InstanceID   `toml:"id"`
	Region     entity.RegionID     `toml:"region"`
	DataCentre entity.DataCentreID `toml:"data_centre"`
}

// Location returns the region and data centre of the instance.
func (i Instance) Location() entity.Location {
	return entity.Location{Region: i.Region, DataCentre: i.DataCentre}
}

// Listen holds the addresses that the daemon listens on and those that it
// advertises to other processes. Each is an IP address and a port.
type Listen struct {
	Callers          string `toml:"callers"`           // TCP
	Peers            string `toml:"peers"`             // UDP
	Admin            string `toml:"admin"`             // TCP
	AdvertiseCallers string `toml:"advertise_callers"` // for callers to connect to; default: the value of callers
	AdvertisePeers   string `toml:"advertise_peers"`   // for other daemons to send to; default: the value of peers
	AdvertiseAdmin   string `toml:"advertise_admin"`   // for operators to connect to; default: the value of admin
}

// Peers says how a daemon finds the other daemons.
type Peers struct {
	Seeds []string `toml:"seeds"` // peer addresses of other daemons: IP address and port
}

// TLS names the files with certificates and keys.
type TLS struct {
	Peers   PeerTLS `toml:"peers"`
	Callers KeyPair `toml:"callers"` // empty: plain HTTP
	Admin   KeyPair `toml:"admin"`   // empty: plain HTTP
}

// PeerTLS names the PEM files for mutual TLS between daemons.
type PeerTLS struct {
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// KeyPair names the PEM files of a server certificate and its private key.
type KeyPair struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Configured reports whether a certificate is configured.
func (k KeyPair) Configured() bool { return k.Cert != "" }

// Operators names the secret file with the operators' credentials.
type Operators struct {
	Credentials string `toml:"credentials"`
}

// Table says where the table service is and how to use it.
type Table struct {
	Endpoint        string `toml:"endpoint"` // URL
	Region          string `toml:"region"`
	Name            string `toml:"name"`
	Credentials     string `toml:"credentials"`       // secret file
	WritesPerSecond int    `toml:"writes_per_second"` // budget that all daemons share
}

// ObjectStore says where the object store is and how to use it.
type ObjectStore struct {
	Endpoint    string `toml:"endpoint"` // URL
	Region      string `toml:"region"`
	Bucket      string `toml:"bucket"`
	Credentials string `toml:"credentials"` // secret file; default: that of the table
}

// Cloud says where the cloud API is and what to launch. It is empty if no service
// is in mode manage.
type Cloud struct {
	Endpoint    string          `toml:"endpoint"`    // URL
	Credentials string          `toml:"credentials"` // secret file
	Image       string          `toml:"image"`       // machine image of the instances launched
	OnDemand    []OnDemandPrice `toml:"on_demand"`
}

// OnDemandPrice is the price of on-demand instances of a machine class in a data
// centre. The cloud API does not report it. Without this price, only reclaimable
// instances of the class are launched there.
type OnDemandPrice struct {
	DataCentre entity.DataCentreID `toml:"data_centre"`
	Class      string              `toml:"class"`
	PerHour    float64             `toml:"per_hour"` // in the cloud's currency
}

// Metadata says where the reclaim notice for this instance is read.
type Metadata struct {
	URL string `toml:"url"` // empty: notices are not read
}

// Log says which events the log contains and in which format.
type Log struct {
	Level  string `toml:"level"`  // lowest level logged: debug, info, warn or error
	Format string `toml:"format"` // text or json
}

// Limits bounds the resources that callers can use on a daemon.
type Limits struct {
	MaxBodyBytes   int64         `toml:"max_body_bytes"`  // per request
	MaxConnections int           `toml:"max_connections"` // of callers, at the same time
	MaxInFlight    int           `toml:"max_in_flight"`   // requests at the same time
	HeaderTimeout  time.Duration `toml:"header_timeout"`  // for reading the headers of a request
	AddressTTL     time.Duration `toml:"address_ttl"`     // how long callers may use a list of the daemons' addresses
}

// Drain bounds the duration of a graceful stop.
type Drain struct {
	Grace time.Duration `toml:"grace"` // after which a stop without a reclaim notice aborts the requests in flight
}

// Default returns settings with the values of keys that a settings file leaves
// out.
func Default() *Settings {
	return &Settings{
		Listen: Listen{Callers: "127.0.0.1:7001", Peers: "127.0.0.1:7101", Admin: "127.0.0.1:7201"},
		Table:  Table{Region: "local", Name: "gooseberryslip", WritesPerSecond: 300},
		ObjectStore: ObjectStore{
			Region: "local", Bucket: "gooseberryslip",
		},
		Log: Log{Level: "info", Format: "text"},
		Limits: Limits{
			MaxBodyBytes:   1 << 20,
			MaxConnections: 4096,
			MaxInFlight:    1024,
			HeaderTimeout:  5 * time.Second,
			AddressTTL:     30 * time.Second,
		},
		Drain: Drain{Grace: 60 * time.Second},
	}
}
