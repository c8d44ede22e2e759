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

// nonOwnerPermissions are the permission bits that a secret file must not have:
// those of the group and of all other users.
const nonOwnerPermissions os.FileMode = 0o077

var sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func permissionError(name string, mode os.FileMode) error {
	return fmt.Errorf("%s has mode %04o, which gives access to users other than its owner; run: chmod 600 %s", name, mode.Perm(), name)
}

// ReadSecret reads a secret file. It refuses a file to which its mode gives users
// other than its owner any access.
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
	if info.Mode().Perm()&nonOwnerPermissions != 0 {
		return nil, permissionError(name, info.Mode())
	}
	return os.ReadFile(name)
}

// Credentials are the key with which calls to the table service, the object store
// and the cloud API are signed.
type Credentials struct {
	AccessKeyID     string `toml:"access_key_id"`
	SecretAccessKey string `toml:"secret_access_key"`
}

// LoadCredentials reads credentials from a secret file in TOML.
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

// operatorsFile is the content of the secret file with the operators' credentials.
type operatorsFile struct {
	Operators []Operator `toml:"operators"`
}

// OperatorSet finds operators by their bearer tokens.
type OperatorSet struct {
	nameByTokenHash map[string]string // keys: hex SHA-256 of the token
}

// LoadOperators reads the secret file with the operators' credentials.
func LoadOperators(name string) (*OperatorSet, error) {
	data, err := ReadSecret(name)
	if err != nil {
		return nil, err
	}
	var f operatorsFile
	d := tomldoc.Read(name, data, &f)
	if len(f.Operators) == 0 {
		d.Add("operators", "at least one operator is required")
	}
	set := &OperatorSet{nameByTokenHash: map[string]string{}}
	for i, o := range f.Operators {
		key := "operators[" + strconv.Itoa(i) + "]"
		checkName(d, key+".name", o.Name)
		if !sha256Pattern.MatchString(o.TokenSHA256) {
			d.Add(key+".token_sha256", "must be 64 lower-case hex digits")
		}
		if _, duplicate := set.nameByTokenHash[o.TokenSHA256]; duplicate {
			d.Add(key+".token_sha256", "another operator has the same token")
		}
		set.nameByTokenHash[o.TokenSHA256] = o.Name
	}
	return set, d.Err()
}

// Name returns the name of the operator with the bearer token, and whether there
// is one. It compares hashes, so that the time that the comparison takes reveals
// nothing about the tokens.
func (s *OperatorSet) Name(token string) (string, bool) {
	name, ok := s.nameByTokenHash[HashToken(token)]
	return name, ok
}

// HashToken returns the hex SHA-256 of a bearer token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
