package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/onesend"
)

const (
	addressRequestTimeout = 2 * time.Second
	addressRetryDelay     = 500 * time.Millisecond
	maxAddressListBytes   = 1 << 20
	minAddressTTL         = 100 * time.Millisecond
)

// addressDirectory caches the daemons' addresses until their TTL ends.
type addressDirectory struct {
	client        *onesend.Client
	seedAddresses []string

	mu        sync.Mutex
	rng       *rand.Rand
	addresses []string
}

// addressList is the body of a response to GET /v1/addresses.
type addressList struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	TTLSeconds float64 `json:"ttl_seconds"`
}

func newAddressDirectory(c Config) *addressDirectory {
	return &addressDirectory{
		client:        onesend.NewClient(addressRequestTimeout),
		seedAddresses: c.Addresses,
		rng:           rand.New(rand.NewPCG(c.Seed, 2)),
		addresses:     slices.Clone(c.Addresses),
	}
}

// refreshUntilDone fetches the addresses again whenever their TTL ends, until ctx
// is cancelled.
func (d *addressDirectory) refreshUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Wait(ctx, d.refresh(ctx))
	}
}

// refresh fetches the address list from the first daemon that returns one: known
// daemons are asked first, then the configured seed addresses. It returns the
// delay until the next refresh.
func (d *addressDirectory) refresh(ctx context.Context) time.Duration {
	d.mu.Lock()
	candidates := append(slices.Clone(d.addresses), d.seedAddresses...)
	d.mu.Unlock()
	for _, address := range candidates {
		list, err := d.fetchAddresses(ctx, address)
		if err != nil || len(list.Addresses) == 0 {
			continue
		}
		d.replace(list)
		return max(minAddressTTL, time.Duration(list.TTLSeconds*float64(time.Second)))
	}
	return addressRetryDelay
}

func (d *addressDirectory) replace(list addressList) {
	addresses := make([]string, len(list.Addresses))
	for i, a := range list.Addresses {
		addresses[i] = a.Address
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addresses = addresses
}

func (d *addressDirectory) fetchAddresses(ctx context.Context, address string) (addressList, error) {
	var list addressList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses", nil)
	if err != nil {
		return list, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("GET /v1/addresses: unexpected status %s", resp.Status)
	}
	return list, json.NewDecoder(io.LimitReader(resp.Body, maxAddressListBytes)).Decode(&list)
}

// pickAddress returns a random address other than avoid, or any address if
// there is no other.
func (d *addressDirectory) pickAddress(avoid string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	others := slices.DeleteFunc(slices.Clone(d.addresses), func(a string) bool { return a == avoid })
	if len(others) == 0 {
		others = d.addresses
	}
	return others[d.rng.IntN(len(others))]
}
