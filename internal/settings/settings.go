// Package settings reads a daemon's settings from a TOML file, the environment
// and flags. Secrets are only ever read from files of their own.
package settings

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/tomldoc"
)

// Settings is the whole of a daemon's settings. File names are absolute or
// relative to the directory of the settings file; Load makes them absolute.
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

	document *tomldoc.Document
}

// Instance says which instance the daemon runs on and where that is.
type Instance struct {
	ID         entity.InstanceID   `toml:"id"`
	Region     entity.RegionID     `toml:"region"`
	DataCentre entity.DataCentreID `toml:"data_centre"`
}

// Place returns the region and data centre as one value.
func (i Instance) Place() entity.Place {
	return entity.Place{Region: i.Region, DataCentre: i.DataCentre}
}

// Listen holds the addresses the daemon listens on, each an IP number and a
// port, and those it gives to others.
type Listen struct {
	Callers          string `toml:"callers"`           // TCP
	Peers            string `toml:"peers"`             // UDP
	Admin            string `toml:"admin"`             // TCP
	AdvertiseCallers string `toml:"advertise_callers"` // what callers connect to; default: callers
	AdvertisePeers   string `toml:"advertise_peers"`   // what other daemons connect to; default: peers
	AdvertiseAdmin   string `toml:"advertise_admin"`   // what operators connect to; default: admin
}

// Peers says how a daemon finds the others.
type Peers struct {
	Seeds []string `toml:"seeds"` // peer addresses, IP number and port
}

// TLS holds the certificates' files.
type TLS struct {
	Peers   PeerTLS `toml:"peers"`
	Callers KeyPair `toml:"callers"` // empty: plain HTTP
	Admin   KeyPair `toml:"admin"`   // empty: plain HTTP
}

// PeerTLS holds the files for mutual TLS between daemons.
type PeerTLS struct {
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// KeyPair holds the files of a server certificate.
type KeyPair struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Set reports whether there is a certificate.
func (k KeyPair) Set() bool { return k.Cert != "" }

// Operators names the file with the operators' credentials.
type Operators struct {
	Credentials string `toml:"credentials"`
}

// Table says where the table service is.
type Table struct {
	Endpoint        string `toml:"endpoint"` // URL
	Region          string `toml:"region"`
	Name            string `toml:"name"`
	Credentials     string `toml:"credentials"`       // file
	WritesPerSecond int    `toml:"writes_per_second"` // budget of the whole fleet
}

// ObjectStore says where the object store is.
type ObjectStore struct {
	Endpoint    string `toml:"endpoint"` // URL
	Region      string `toml:"region"`
	Bucket      string `toml:"bucket"`
	Credentials string `toml:"credentials"` // file; default: that of the table
}

// Cloud says where the cloud API is; empty where no service is managed.
type Cloud struct {
	Endpoint    string          `toml:"endpoint"` // URL
	Credentials string          `toml:"credentials"`
	Image       string          `toml:"image"` // what instances are started from
	OnDemand    []OnDemandPrice `toml:"on_demand"`
}

// OnDemandPrice is the list price of a machine class on demand, which the
// cloud API does not tell. Without one, the class is only started reclaimable.
type OnDemandPrice struct {
	DataCentre entity.DataCentreID `toml:"data_centre"`
	Class      string              `toml:"class"`
	PerHour    float64             `toml:"per_hour"`
}

// Metadata says where the reclaim notice of this instance is read.
type Metadata struct {
	URL string `toml:"url"` // empty: no notices
}

// Log says what the log holds.
type Log struct {
	Level  string `toml:"level"`  // debug, info, warn, error
	Format string `toml:"format"` // text, json
}

// Limits bound what callers can cost a daemon.
type Limits struct {
	MaxBodyBytes   int64         `toml:"max_body_bytes"`
	MaxConnections int           `toml:"max_connections"`
	MaxInFlight    int           `toml:"max_in_flight"` // requests
	HeaderTimeout  time.Duration `toml:"header_timeout"`
	AddressTTL     time.Duration `toml:"address_ttl"` // how long callers may keep addresses
}

// Drain bounds a graceful stop.
type Drain struct {
	Grace time.Duration `toml:"grace"` // before a stop without a notice cuts requests
}

// Default returns the settings that hold where a file says nothing.
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
