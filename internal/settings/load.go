package settings

import (
	"cmp"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/gooseberryslip/gooseberryslip/internal/tomldoc"
)

// EnvironmentPrefix starts the names of environment variables that override
// settings: listen.callers is GOOSEBERRYSLIP_LISTEN_CALLERS.
const EnvironmentPrefix = "GOOSEBERRYSLIP_"

// clientVariables have the prefix too; the command line reads them.
var clientVariables = []string{"GOOSEBERRYSLIP_ADMIN", "GOOSEBERRYSLIP_TOKEN_FILE", "GOOSEBERRYSLIP_CA"}

// Override is a setting given by a flag.
type Override struct {
	Key   string // dotted, such as "listen.callers"
	Value string
}

// ParseOverride reads "key=value".
func ParseOverride(text string) (Override, bool) {
	key, value, ok := strings.Cut(text, "=")
	return Override{Key: key, Value: value}, ok && key != ""
}

// Load reads a settings file. The environment overrides the file, and the
// overrides override both. It returns all unknown keys, wrong types and
// impossible values as tomldoc.Problems. Check also looks at the files named.
func Load(path string, overrides ...Override) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data, os.Environ(), overrides...)
}

// Parse is Load for a file that has been read and a given environment, a list
// of "NAME=value".
func Parse(path string, data []byte, environment []string, overrides ...Override) (*Settings, error) {
	s := Default()
	s.document = tomldoc.Read(path, data, s)
	found := s.override(environment, overrides)
	s.complete()
	if len(s.document.Problems())+len(found) > 0 {
		if s.document.Readable() {
			s.checkValues()
		}
		return nil, append(s.document.Problems(), found...)
	}
	s.resolveFiles(filepath.Dir(path))
	return s, nil
}

func (s *Settings) override(environment []string, overrides []Override) tomldoc.Problems {
	var found tomldoc.Problems
	add := func(p *tomldoc.Problem) {
		if p != nil {
			found = append(found, *p)
		}
	}
	keyOf := map[string]string{}
	for _, key := range tomldoc.Keys(s) {
		keyOf[VariableName(key)] = key
	}
	for _, entry := range environment {
		name, value, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, EnvironmentPrefix) || slices.Contains(clientVariables, name) {
			continue
		}
		key, ok := keyOf[name]
		if !ok {
			add(&tomldoc.Problem{File: "environment", Key: name, Reason: "no setting has this name"})
			continue
		}
		add(tomldoc.Set(s, "environment "+name, key, value))
	}
	for _, o := range overrides {
		add(tomldoc.Set(s, "flag --set", o.Key, o.Value))
	}
	return found
}

// VariableName returns the environment variable that overrides a setting.
func VariableName(key string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(key, ".", "_"))
}

// complete derives settings whose default is another setting.
func (s *Settings) complete() {
	s.Listen.AdvertiseCallers = cmp.Or(s.Listen.AdvertiseCallers, s.Listen.Callers)
	s.Listen.AdvertisePeers = cmp.Or(s.Listen.AdvertisePeers, s.Listen.Peers)
	s.Listen.AdvertiseAdmin = cmp.Or(s.Listen.AdvertiseAdmin, s.Listen.Admin)
	s.ObjectStore.Credentials = cmp.Or(s.ObjectStore.Credentials, s.Table.Credentials)
	if s.document == nil {
		s.document = tomldoc.Empty("settings")
	}
}

// resolveFiles makes file names absolute.
func (s *Settings) resolveFiles(directory string) {
	for _, f := range s.files() {
		if *f.name != "" && !filepath.IsAbs(*f.name) {
			*f.name = filepath.Join(directory, *f.name)
		}
	}
}
