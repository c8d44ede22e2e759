package settings

import (
	"cmp"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/gooseberryslip/gooseberryslip/internal/tomldoc"
)

// EnvironmentPrefix is the prefix of the environment variables that override
// settings. GOOSEBERRYSLIP_LISTEN_CALLERS overrides listen.callers.
const EnvironmentPrefix = "GOOSEBERRYSLIP_"

// clientVariables are environment variables with the same prefix that override no
// setting. The client commands read them.
var clientVariables = []string{"GOOSEBERRYSLIP_ADMIN", "GOOSEBERRYSLIP_TOKEN_FILE", "GOOSEBERRYSLIP_CA"}

// Override is the value of a setting that a flag gives.
type Override struct {
	Key   string // dotted, such as "listen.callers"
	Value string
}

// ParseOverride parses "key=value". It reports false if there is no "=" or no key.
func ParseOverride(text string) (Override, bool) {
	key, value, ok := strings.Cut(text, "=")
	return Override{Key: key, Value: value}, ok && key != ""
}

// Load reads a settings file. Environment variables take precedence over the
// file, and the overrides over both. If a key is unknown or a value has the wrong
// type, it returns these problems and all invalid values as tomldoc.Problems.
// Otherwise it returns settings whose values have not been checked yet; call
// Settings.Check for that.
func Load(path string, overrides ...Override) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data, os.Environ(), overrides...)
}

// Parse does what Load does for the content data of the file path. environment
// holds entries "NAME=value".
func Parse(path string, data []byte, environment []string, overrides ...Override) (*Settings, error) {
	s := Default()
	s.document = tomldoc.Read(path, data, s)
	overrideProblems := s.applyOverrides(environment, overrides)
	s.setDerivedDefaults()
	if len(s.document.Problems())+len(overrideProblems) > 0 {
		if s.document.Readable() {
			s.checkValues()
		}
		return nil, append(s.document.Problems(), overrideProblems...)
	}
	s.resolveFiles(filepath.Dir(path))
	return s, nil
}

// applyOverrides sets the settings that environment variables and flags override,
// and returns the problems of these.
func (s *Settings) applyOverrides(environment []string, overrides []Override) tomldoc.Problems {
	var problems tomldoc.Problems
	add := func(p *tomldoc.Problem) {
		if p != nil {
			problems = append(problems, *p)
		}
	}
	keyByVariable := map[string]string{}
	for _, key := range tomldoc.Keys(s) {
		keyByVariable[VariableName(key)] = key
	}
	for _, entry := range environment {
		name, value, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, EnvironmentPrefix) || slices.Contains(clientVariables, name) {
			continue
		}
		key, ok := keyByVariable[name]
		if !ok {
			add(&tomldoc.Problem{File: "environment", Key: name, Reason: "no setting has this name; unset the variable or correct its name"})
			continue
		}
		add(tomldoc.SetField(s, "environment "+name, key, value))
	}
	for _, o := range overrides {
		add(tomldoc.SetField(s, "flag --set", o.Key, o.Value))
	}
	return problems
}

// VariableName returns the environment variable that overrides the setting with
// the key.
func VariableName(key string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(key, ".", "_"))
}

// setDerivedDefaults sets the empty settings whose default is the value of another
// setting. Settings that were not read from a file also get an empty document, to
// collect their problems.
func (s *Settings) setDerivedDefaults() {
	s.Listen.AdvertiseCallers = cmp.Or(s.Listen.AdvertiseCallers, s.Listen.Callers)
	s.Listen.AdvertisePeers = cmp.Or(s.Listen.AdvertisePeers, s.Listen.Peers)
	s.Listen.AdvertiseAdmin = cmp.Or(s.Listen.AdvertiseAdmin, s.Listen.Admin)
	s.ObjectStore.Credentials = cmp.Or(s.ObjectStore.Credentials, s.Table.Credentials)
	if s.document == nil {
		s.document = tomldoc.Empty("settings")
	}
}

// resolveFiles makes the names of files absolute: relative ones are relative to
// the directory.
func (s *Settings) resolveFiles(directory string) {
	for _, f := range s.referencedFiles() {
		if *f.name != "" && !filepath.IsAbs(*f.name) {
			*f.name = filepath.Join(directory, *f.name)
		}
	}
}
