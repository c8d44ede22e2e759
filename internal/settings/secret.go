package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"regexp"
	"strconv"

	"github.com/gooseberryslip/gooseberryslip/internal/tomldoc"
)

// othersMay are the permission bits that a secret's file must not have.
const othersMay os.FileMode = 0o077

var sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func permissionError(name string, mode os.FileMode) error {
	return fmt.Errorf("%s has mode %04o, so others may read it; run: chmod 600 %s", name, mode.Perm(), name)
}

// ReadSecret reads a file that only its owner may read or write.
func ReadSecret(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&othersMay != 0 {
		return nil, permissionError(name, info.Mode())
	}
	return os.ReadFile(name)
}

// Credentials sign calls to the platform.
type Credentials struct {
	AccessKeyID     string `toml:"access_key_id"`
	SecretAccessKey string `toml:"secret_access_key"`
}

// LoadCredentials reads the platform credentials from a secret file in TOML.
func LoadCredentials(name string) (Credentials, error) {
	var c Credentials
	data, err := ReadSecret(name)
	if err != nil {
		return c, err
	}
	d := tomldoc.Read(name, data, &c)
	checkRequired(d, "access_key_id", c.AccessKeyID)
	checkRequired(d, "secret_access_key", c.SecretAccessKey)
	return c, d.Err()
}

// Operator is a person or program that may use the administration API.
type Operator struct {
	Name        string `toml:"name"`
	TokenSHA256 string `toml:"token_sha256"` // hex SHA-256 of the bearer token
}

type operatorsFile struct {
	Operators []Operator `toml:"operators"`
}

// OperatorSet finds operators by their bearer tokens.
type OperatorSet struct {
	nameOf map[string]string // by hex SHA-256 of the token
}

// LoadOperators reads the operators' credentials file.
func LoadOperators(name string) (*OperatorSet, error) {
	data, err := ReadSecret(name)
	if err != nil {
		return nil, err
	}
	var f operatorsFile
	d := tomldoc.Read(name, data, &f)
	if len(f.Operators) == 0 {
		d.Add("operators", "at least one is required")
	}
	set := &OperatorSet{nameOf: map[string]string{}}
	for i, o := range f.Operators {
		key := "operators[" + strconv.Itoa(i) + "]"
		checkName(d, key+".name", o.Name)
		if !sha256Pattern.MatchString(o.TokenSHA256) {
			d.Add(key+".token_sha256", "must be 64 lower-case hex digits")
		}
		if _, taken := set.nameOf[o.TokenSHA256]; taken {
			d.Add(key+".token_sha256", "another operator has the same token")
		}
		set.nameOf[o.TokenSHA256] = o.Name
	}
	return set, d.Err()
}

// Name returns the operator with the bearer token. Hashing the token first
// keeps the comparison's time from telling anything about it.
func (s *OperatorSet) Name(token string) (string, bool) {
	name, ok := s.nameOf[HashToken(token)]
	return name, ok
}

// HashToken returns the hex SHA-256 of a bearer token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
