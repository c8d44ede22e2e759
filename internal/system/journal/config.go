package journal

import (
	"cmp"
	"time"
)

const (
	defaultShards         = 16
	defaultWriteBudget    = 300 // writes per second
	defaultGroupDelay     = 60 * time.Millisecond
	defaultRetryAfter     = 2 * time.Second
	defaultTryFor         = 2 * time.Second
	defaultRetention      = 24 * time.Hour
	defaultRefreshEvery   = 5 * time.Second
	defaultRetryDelay     = 100 * time.Millisecond
	defaultTakeoverDelay  = time.Second
	defaultTakeoverMax    = time.Minute
	defaultUnseenGrace    = 5 * time.Second
	defaultRebalanceAfter = 30 * time.Second
	defaultReleaseGrace   = 500 * time.Millisecond
	defaultInlineLimit    = 8 << 10   // bytes
	defaultBatchBytes     = 192 << 10 // bytes
	defaultHotKeys        = 16384
	defaultHotBytes       = 4 << 20  // bytes
	defaultPartBytes      = 32 << 10 // bytes
	defaultMergeCount     = 16
	defaultMergeKeys      = 1 << 18

	retryDelayMax = 2 * time.Second
	downPollEvery = time.Second
	heldBytesMax  = 8 << 20 // bytes of unwritten answers kept for each shard
	queryLimit    = 400     // rows of one page
	trimLimit     = 50      // rows deleted in one transaction
)

func withDefaults(c Config) Config {
	c.Shards = cmp.Or(c.Shards, defaultShards)
	c.WriteBudget = cmp.Or(c.WriteBudget, defaultWriteBudget)
	c.GroupDelay = cmp.Or(c.GroupDelay, defaultGroupDelay)
	c.RetryAfter = cmp.Or(c.RetryAfter, defaultRetryAfter)
	c.TryFor = cmp.Or(c.TryFor, defaultTryFor)
	c.Retention = cmp.Or(c.Retention, defaultRetention)
	c.RefreshEvery = cmp.Or(c.RefreshEvery, defaultRefreshEvery)
	c.RetryDelay = cmp.Or(c.RetryDelay, defaultRetryDelay)
	c.TakeoverDelay = cmp.Or(c.TakeoverDelay, defaultTakeoverDelay)
	c.TakeoverMax = cmp.Or(c.TakeoverMax, defaultTakeoverMax)
	c.UnseenGrace = cmp.Or(c.UnseenGrace, defaultUnseenGrace)
	c.RebalanceAfter = cmp.Or(c.RebalanceAfter, defaultRebalanceAfter)
	c.ReleaseGrace = cmp.Or(c.ReleaseGrace, defaultReleaseGrace)
	c.InlineLimit = cmp.Or(c.InlineLimit, defaultInlineLimit)
	c.BatchBytes = cmp.Or(c.BatchBytes, defaultBatchBytes)
	c.HotKeys = cmp.Or(c.HotKeys, defaultHotKeys)
	c.HotBytes = cmp.Or(c.HotBytes, defaultHotBytes)
	c.PartBytes = cmp.Or(c.PartBytes, defaultPartBytes)
	c.MergeCount = cmp.Or(c.MergeCount, defaultMergeCount)
	c.MergeKeys = cmp.Or(c.MergeKeys, defaultMergeKeys)
	return c
}
