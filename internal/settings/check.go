package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/tomldoc"
)

const (
	minHeaderTimeout = 100 * time.Millisecond
	minAddressTTL    = time.Second
	maxAddressTTL    = time.Hour
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Check returns all invalid values, all missing files and all secret files that
// users other than their owner may access, as tomldoc.Problems, or nil.
func (s *Settings) Check() error {
	s.setDerivedDefaults()
	s.checkValues()
	for _, f := range s.referencedFiles() {
		f.check(s.document)
	}
	return s.document.Err()
}

// CheckValues does what Check does, but leaves out the files that the settings
// name.
func (s *Settings) CheckValues() error {
	s.setDerivedDefaults()
	s.checkValues()
	return s.document.Err()
}

func (s *Settings) checkValues() {
	d := s.document
	checkName(d, "instance.id", string(s.Instance.ID))
	checkName(d, "instance.region", string(s.Instance.Region))
	checkName(d, "instance.data_centre", string(s.Instance.DataCentre))
	s.checkListen()
	for i, seed := range s.Peers.Seeds {
		checkReachable(d, "peers.seeds["+strconv.Itoa(i)+"]", seed)
	}
	s.checkTLS()
	s.checkPlatform()
	s.checkLog()
	s.checkLimits()
}

func (s *Settings) checkListen() {
	d := s.document
	checkAddress(d, "listen.callers", s.Listen.Callers)
	checkAddress(d, "listen.peers", s.Listen.Peers)
	checkAddress(d, "listen.admin", s.Listen.Admin)
	if s.Listen.Callers == s.Listen.Admin && !hasPortZero(s.Listen.Callers) {
		d.Add("listen.admin", "must differ from listen.callers")
	}
	s.checkAdvertised("listen.advertise_callers", s.Listen.AdvertiseCallers, s.Listen.Callers)
	s.checkAdvertised("listen.advertise_peers", s.Listen.AdvertisePeers, s.Listen.Peers)
	s.checkAdvertised("listen.advertise_admin", s.Listen.AdvertiseAdmin, s.Listen.Admin)
}

// checkAdvertised reports an advertised address that other processes cannot
// connect to. An advertised address that is merely the default, a copy of the
// listen address, is reported only if it is a wildcard: other problems of it are
// reported for the listen address.
func (s *Settings) checkAdvertised(key, advertised, listen string) {
	if advertised != listen {
		checkReachable(s.document, key, advertised)
		return
	}
	if a, err := netip.ParseAddrPort(advertised); err == nil && a.Addr().IsUnspecified() {
		s.document.Add(key, "is required when listening on all addresses (%s)", listen)
	}
}

func (s *Settings) checkTLS() {
	d := s.document
	checkRequired(d, "tls.peers.ca", s.TLS.Peers.CA)
	checkRequired(d, "tls.peers.cert", s.TLS.Peers.Cert)
	checkRequired(d, "tls.peers.key", s.TLS.Peers.Key)
	checkKeyPair(d, "tls.callers", s.TLS.Callers)
	checkKeyPair(d, "tls.admin", s.TLS.Admin)
	checkRequired(d, "operators.credentials", s.Operators.Credentials)
}

func (s *Settings) checkPlatform() {
	d := s.document
	checkURL(d, "table.endpoint", s.Table.Endpoint, true)
	checkRequired(d, "table.region", s.Table.Region)
	checkRequired(d, "table.name", s.Table.Name)
	checkRequired(d, "table.credentials", s.Table.Credentials)
	if s.Table.WritesPerSecond < 1 {
		d.Add("table.writes_per_second", "must be at least 1")
	}
	checkURL(d, "object_store.endpoint", s.ObjectStore.Endpoint, true)
	checkRequired(d, "object_store.region", s.ObjectStore.Region)
	checkRequired(d, "object_store.bucket", s.ObjectStore.Bucket)
	checkURL(d, "cloud.endpoint", s.Cloud.Endpoint, false)
	s.checkOnDemand()
	checkURL(d, "metadata.url", s.Metadata.URL, false)
}

func (s *Settings) checkOnDemand() {
	for i, p := range s.Cloud.OnDemand {
		key := fmt.Sprintf("cloud.on_demand[%d]", i)
		checkRequired(s.document, key+".data_centre", string(p.DataCentre))
		checkRequired(s.document, key+".class", p.Class)
		if !(p.PerHour > 0) {
			s.document.Add(key+".per_hour", "must be above 0")
		}
	}
}

func (s *Settings) checkLog() {
	if _, err := event.ParseLevel(s.Log.Level); err != nil {
		s.document.Add("log.level", "%v", err)
	}
	if s.Log.Format != "text" && s.Log.Format != "json" {
		s.document.Add("log.format", "%q is not one of text, json", s.Log.Format)
	}
}

func (s *Settings) checkLimits() {
	d := s.document
	if s.Limits.MaxBodyBytes < 1 {
		d.Add("limits.max_body_bytes", "must be at least 1")
	}
	if s.Limits.MaxConnections < 1 {
		d.Add("limits.max_connections", "must be at least 1")
	}
	if s.Limits.MaxInFlight < 1 {
		d.Add("limits.max_in_flight", "must be at least 1")
	}
	if s.Limits.HeaderTimeout < minHeaderTimeout {
		d.Add("limits.header_timeout", "must be at least %v", minHeaderTimeout)
	}
	if s.Limits.AddressTTL < minAddressTTL || s.Limits.AddressTTL > maxAddressTTL {
		d.Add("limits.address_ttl", "must be from %v to %v", minAddressTTL, maxAddressTTL)
	}
	if s.Drain.Grace <= 0 {
		d.Add("drain.grace", "must be above 0")
	}
}

func checkName(d *tomldoc.Document, key, value string) {
	switch {
	case value == "":
		d.Add(key, "is required")
	case !namePattern.MatchString(value):
		d.Add(key, "%q is not a name: letters, digits, '.', '_' and '-', at most 63", value)
	}
}

func checkRequired(d *tomldoc.Document, key, value string) {
	if value == "" {
		d.Add(key, "is required")
	}
}

func checkKeyPair(d *tomldoc.Document, key string, pair KeyPair) {
	if (pair.Cert == "") != (pair.Key == "") {
		d.Add(key, "needs both cert and key, or neither")
	}
}

func checkAddress(d *tomldoc.Document, key, value string) {
	if value == "" {
		d.Add(key, "is required")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		d.Add(key, "%q is not an IP number and a port, such as 10.0.0.5:7001", value)
	}
}

// checkReachable reports an address that other processes cannot connect to.
func checkReachable(d *tomldoc.Document, key, value string) {
	a, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		d.Add(key, "%q is not an IP number and a port, such as 10.0.0.5:7001", value)
	case a.Addr().IsUnspecified():
		d.Add(key, "%q is a wildcard address, which other processes cannot connect to", value)
	case a.Port() == 0:
		d.Add(key, "%q needs a port other than 0", value)
	}
}

// hasPortZero reports whether the address leaves the choice of the port to the
// kernel.
func hasPortZero(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() == 0
}

func checkURL(d *tomldoc.Document, key, value string, required bool) {
	if value == "" {
		if required {
			d.Add(key, "is required")
		}
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		d.Add(key, "%q is not an http or https URL", value)
	}
}

// referencedFile is a file that the settings name.
type referencedFile struct {
	key    string  // setting that names the file
	name   *string // value of the setting; empty if it names no file
	secret bool    // whether only its owner may access the file
}

// referencedFiles returns an entry for every setting that can name a file, also
// for those that are empty.
func (s *Settings) referencedFiles() []referencedFile {
	return []referencedFile{
		{key: "tls.peers.ca", name: &s.TLS.Peers.CA},
		{key: "tls.peers.cert", name: &s.TLS.Peers.Cert},
		{key: "tls.peers.key", name: &s.TLS.Peers.Key, secret: true},
		{key: "tls.callers.cert", name: &s.TLS.Callers.Cert},
		{key: "tls.callers.key", name: &s.TLS.Callers.Key, secret: true},
		{key: "tls.admin.cert", name: &s.TLS.Admin.Cert},
		{key: "tls.admin.key", name: &s.TLS.Admin.Key, secret: true},
		{key: "operators.credentials", name: &s.Operators.Credentials, secret: true},
		{key: "table.credentials", name: &s.Table.Credentials, secret: true},
		{key: "object_store.credentials", name: &s.ObjectStore.Credentials, secret: true},
		{key: "cloud.credentials", name: &s.Cloud.Credentials, secret: true},
	}
}

// check reports a file that does not exist, is not a regular file, or is secret
// and accessible to users other than its owner.
func (f referencedFile) check(d *tomldoc.Document) {
	if *f.name == "" {
		return
	}
	info, err := os.Stat(*f.name)
	switch {
	case err != nil:
		d.Add(f.key, "%v", err)
	case !info.Mode().IsRegular():
		d.Add(f.key, "%s is not a regular file", *f.name)
	case f.secret && info.Mode().Perm()&nonOwnerPermissions != 0:
		d.Add(f.key, "%v", permissionError(*f.name, info.Mode()))
	}
}
