package daemon

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/gooseberryslip/gooseberryslip/internal/callerapi"
	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// view is the core's view with an index of the organisations' credentials. It
// is immutable.
type view struct {
	core.View
	organisations map[string]entity.OrganisationID // by hex SHA-256 of the token
}

// newView returns a view with its index of credentials.
func newView(v *core.View) *view {
	out := &view{View: *v, organisations: make(map[string]entity.OrganisationID)}
	for _, s := range v.Services {
		for _, o := range s.Organisations {
			if o.CredentialSHA256 != "" {
				out.organisations[o.CredentialSHA256] = o.ID
			}
		}
	}
	return out
}

// Authenticate returns the organisation with a bearer token. It looks up the
// token's hash, so that the time taken reveals nothing about other tokens.
func (d *Daemon) Authenticate(token string) (entity.OrganisationID, bool) {
	sum := sha256.Sum256([]byte(token))
	org, ok := d.view.Load().organisations[hex.EncodeToString(sum[:])]
	return org, ok
}

// Addresses returns the daemons that callers should use.
func (d *Daemon) Addresses() callerapi.Addresses {
	out := callerapi.Addresses{
		Addresses:  []callerapi.Address{},
		TTLSeconds: int(d.Options.AddressTTL.Seconds()),
	}
	for _, m := range d.view.Load().Addresses {
		out.Addresses = append(out.Addresses, callerapi.Address{
			Address: m.CallerAddr, DataCentre: m.Location.DataCentre,
		})
	}
	return out
}

// View returns the view last published by the core.
func (d *Daemon) View() core.View { return d.view.Load().View }
