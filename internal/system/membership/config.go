package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultProbeInterval    = 500 * time.Millisecond
	defaultProbeRetry       = 300 * time.Millisecond
	defaultProbeTimeout     = 1500 * time.Millisecond
	defaultSuspicionTimeout = 4 * time.Second
	defaultGossipInterval   = 200 * time.Millisecond
	defaultSyncInterval     = 2 * time.Second
	defaultJoinInterval     = time.Second
	defaultRejoinInterval   = 30 * time.Second
	defaultDeadRetention    = 2 * time.Hour
	defaultLocalRings       = 2
	defaultGlobalRings      = 2
)

// Config holds the parameters of New. Zero values take defaults.
type Config struct {
	Self  Member     // State and Incarnation are ignored
	Seeds []string   // addresses to join through
	Rand  *rand.Rand // nil: seeded with the ID

	ProbeInterval    time.Duration // between probes; each takes the next ring
	ProbeRetry       time.Duration // a probe without answer is repeated after this
	ProbeTimeout     time.Duration // a probe without answer has failed after this
	SuspicionTimeout time.Duration // a suspect that has not refuted is dead after this
	GossipInterval   time.Duration // least time between two rounds of changes
	SyncInterval     time.Duration // least time between two comparisons of digests
	JoinInterval     time.Duration // between attempts to join while nobody is known
	RejoinInterval   time.Duration // between attempts to reach a dead member or a seed
	DeadRetention    time.Duration // dead members are forgotten after this
	LocalRings       int           // rings of the own data centre
	GlobalRings      int           // rings of all members
}

// Defaults returns c with its zero values filled in.
func (c Config) Defaults() Config {
	setDefault(&c.ProbeInterval, defaultProbeInterval)
	setDefault(&c.ProbeRetry, defaultProbeRetry)
	setDefault(&c.ProbeTimeout, defaultProbeTimeout)
	setDefault(&c.SuspicionTimeout, defaultSuspicionTimeout)
	setDefault(&c.GossipInterval, defaultGossipInterval)
	setDefault(&c.SyncInterval, defaultSyncInterval)
	setDefault(&c.JoinInterval, defaultJoinInterval)
	setDefault(&c.RejoinInterval, defaultRejoinInterval)
	setDefault(&c.DeadRetention, defaultDeadRetention)
	setDefault(&c.LocalRings, defaultLocalRings)
	setDefault(&c.GlobalRings, defaultGlobalRings)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(xxhash.Sum64String(string(c.Self.ID)), 0))
	}
	c.Self.Incarnation = 0
	return c
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Limits on memory and on what a message may hold.
const (
	maxMembers      = 8192
	maxDead         = 4096
	maxSeeds        = 256
	maxIDBytes      = 256
	maxAddrBytes    = 128
	maxPlaceBytes   = 64
	maxUpdates      = 2 * maxMembers
	maxNewsRecords  = 2 * maxNewsKeys
	maxNewsKeys     = 8192
	maxNewsKeyBytes = 256
	maxNewsBody     = 64 << 10 // bytes
	maxNewsBytes    = 4 << 20  // bytes of all news
	maxIncarnation  = 1 << 31
	maxRelays       = 64
)
