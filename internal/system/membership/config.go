package membership

import (
	"cmp"
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

// Config holds the parameters of New. Zero values take the defaults.
type Config struct {
	Self  Member     // this daemon; State and Incarnation are ignored
	Seeds []string   // peer addresses to join through
	Rand  *rand.Rand // nil: a source seeded with the daemon's ID

	ProbeInterval    time.Duration // between probes; each probe uses the next ring
	ProbeRetry       time.Duration // an unanswered probe is sent again after this
	ProbeTimeout     time.Duration // an unanswered probe has failed after this
	SuspicionTimeout time.Duration // a suspect that has not refuted the suspicion is dead after this
	GossipInterval   time.Duration // minimum time between two gossip rounds
	SyncInterval     time.Duration // minimum time between two digest comparisons
	JoinInterval     time.Duration // between attempts to join while no peer is known
	RejoinInterval   time.Duration // maximum time between attempts to reach a dead member or an unused seed
	DeadRetention    time.Duration // dead members are forgotten after this
	LocalRings       int           // number of rings that hold the members of this daemon's data centre
	GlobalRings      int           // number of rings that hold all members
}

// Defaults returns c with its zero values replaced by the defaults and
// Self.Incarnation cleared.
func (c Config) Defaults() Config {
	c.ProbeInterval = cmp.Or(c.ProbeInterval, defaultProbeInterval)
	c.ProbeRetry = cmp.Or(c.ProbeRetry, defaultProbeRetry)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, defaultProbeTimeout)
	c.SuspicionTimeout = cmp.Or(c.SuspicionTimeout, defaultSuspicionTimeout)
	c.GossipInterval = cmp.Or(c.GossipInterval, defaultGossipInterval)
	c.SyncInterval = cmp.Or(c.SyncInterval, defaultSyncInterval)
	c.JoinInterval = cmp.Or(c.JoinInterval, defaultJoinInterval)
	c.RejoinInterval = cmp.Or(c.RejoinInterval, defaultRejoinInterval)
	c.DeadRetention = cmp.Or(c.DeadRetention, defaultDeadRetention)
	c.LocalRings = cmp.Or(c.LocalRings, defaultLocalRings)
	c.GlobalRings = cmp.Or(c.GlobalRings, defaultGlobalRings)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(xxhash.Sum64String(string(c.Self.ID)), 0))
	}
	c.Self.Incarnation = 0
	return c
}

// Limits on the memory that this daemon uses and on the contents of a message.
const (
	maxMembers           = 8192
	maxDeadMembers       = 4096
	maxSeeds             = 256
	maxIDBytes           = 256
	maxAddrBytes         = 128
	maxLocationBytes     = 64
	maxUpdatesPerMessage = 2 * maxMembers
	maxRecordsPerMessage = 2 * maxRecordKeys
	maxRecordKeys        = 8192
	maxRecordKeyBytes    = 256
	maxRecordBodyBytes   = 64 << 10 // of one gossip record
	maxTotalRecordBytes  = 4 << 20  // of all gossip records together
	maxIncarnation       = 1 << 31
	maxRelays            = 64 // unanswered pings on behalf of other members
)
