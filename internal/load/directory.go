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
	directoryTimeout = 2 * time.Second
	directoryRetry   = 500 * time.Millisecond
	maxDirectorySize = 1 << 20
	minimumTTL       = 100 * time.Millisecond
)

// directory holds the daemons' addresses as long as they may be kept.
type directory struct {
	http  *onesend.Client
	seeds []string

	mu        sync.Mutex
	rng       *rand.Rand
	addresses []string
}

type addressList struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	TTLSeconds float64 `json:"ttl_seconds"`
}

func newDirectory(c Config) *directory {
	return &directory{
		http:      onesend.NewClient(directoryTimeout),
		seeds:     c.Addresses,
		rng:       rand.New(rand.NewPCG(c.Seed, 2)),
		addresses: slices.Clone(c.Addresses),
	}
}

// keep asks for the addresses anew whenever their time is over, until ctx ends.
func (d *directory) keep(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Wait(ctx, d.refresh(ctx))
	}
}

// refresh asks known daemons, then the seeds, and returns when to ask again.
func (d *directory) refresh(ctx context.Context) time.Duration {
	d.mu.Lock()
	candidates := append(slices.Clone(d.addresses), d.seeds...)
	d.mu.Unlock()
	for _, address := range candidates {
		list, err := d.ask(ctx, address)
		if err != nil || len(list.Addresses) == 0 {
			continue
		}
		d.replace(list)
		return max(minimumTTL, time.Duration(list.TTLSeconds*float64(time.Second)))
	}
	return directoryRetry
}

func (d *directory) replace(list addressList) {
	addresses := make([]string, len(list.Addresses))
	for i, a := range list.Addresses {
		addresses[i] = a.Address
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addresses = addresses
}

func (d *directory) ask(ctx context.Context, address string) (addressList, error) {
	var list addressList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses", nil)
	if err != nil {
		return list, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("addresses: %s", resp.Status)
	}
	return list, json.NewDecoder(io.LimitReader(resp.Body, maxDirectorySize)).Decode(&list)
}

// pick returns an address other than the one to avoid, if there is one.
func (d *directory) pick(avoid string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	others := slices.DeleteFunc(slices.Clone(d.addresses), func(a string) bool { return a == avoid })
	if len(others) == 0 {
		others = d.addresses
	}
	return others[d.rng.IntN(len(others))]
}
