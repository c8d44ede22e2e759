package journal

import (
	"cmp"
	"time"
)

const (
	defaultShards            = 16
	defaultWriteBudget       = 300 // writes per second
	defaultMinAppendInterval = 60 * time.Millisecond
	defaultRetryAfter        = 2 * time.Second
	defaultStoreTimeout      = 2 * time.Second
	defaultRetention         = 24 * time.Hour
	defaultRefreshInterval   = 5 * time.Second
	defaultRetryDelay        = 100 * time.Millisecond
	defaultTakeoverDelay     = time.Second
	defaultMaxTakeoverDelay  = time.Minute
	defaultUnseenOwnerDelay  = 5 * time.Second
	defaultRebalanceDelay    = 30 * time.Second
	defaultReleaseTimeout    = 500 * time.Millisecond
	defaultMaxInlineBytes    = 8 << 10   // bytes
	defaultMaxBatchBytes     = 192 << 10 // bytes
	defaultHotKeys           = 16384
	defaultHotBytes          = 4 << 20  // bytes
	defaultTargetPartBytes   = 32 << 10 // bytes
	defaultMergeCount        = 16
	defaultMaxMergeKeys      = 1 << 18

	maxRetryDelay         = 2 * time.Second
	tableDownPollInterval = time.Second
	maxUnwrittenBytes     = 8 << 20 // per shard; above it, an answer that could not be committed in time is discarded
	queryPageRows         = 400     // rows on one page of a query
	maxDeleteRows         = 50      // rows deleted in one transaction
)

func withDefaults(c Config) Config {
	c.Shards = cmp.Or(c.Shards, defaultShards)
	c.WriteBudget = cmp.Or(c.WriteBudget, defaultWriteBudget)
	c.MinAppendInterval = cmp.Or(c.MinAppendInterval, defaultMinAppendInterval)
	c.RetryAfter = cmp.Or(c.RetryAfter, defaultRetryAfter)
	c.StoreTimeout = cmp.Or(c.StoreTimeout, defaultStoreTimeout)
	c.Retention = cmp.Or(c.Retention, defaultRetention)
	c.RefreshInterval = cmp.Or(c.RefreshInterval, defaultRefreshInterval)
	c.RetryDelay = cmp.Or(c.RetryDelay, defaultRetryDelay)
	c.TakeoverDelay = cmp.Or(c.TakeoverDelay, defaultTakeoverDelay)
	c.MaxTakeoverDelay = cmp.Or(c.MaxTakeoverDelay, defaultMaxTakeoverDelay)
	c.UnseenOwnerDelay = cmp.Or(c.UnseenOwnerDelay, defaultUnseenOwnerDelay)
	c.RebalanceDelay = cmp.Or(c.RebalanceDelay, defaultRebalanceDelay)
	c.ReleaseTimeout = cmp.Or(c.ReleaseTimeout, defaultReleaseTimeout)
	c.MaxInlineBytes = cmp.Or(c.MaxInlineBytes, defaultMaxInlineBytes)
	c.MaxBatchBytes = cmp.Or(c.MaxBatchBytes, defaultMaxBatchBytes)
	c.HotKeys = cmp.Or(c.HotKeys, defaultHotKeys)
	c.HotBytes = cmp.Or(c.HotBytes, defaultHotBytes)
	c.TargetPartBytes = cmp.Or(c.TargetPartBytes, defaultTargetPartBytes)
	c.MergeCount = cmp.Or(c.MergeCount, defaultMergeCount)
	c.MaxMergeKeys = cmp.Or(c.MaxMergeKeys, defaultMaxMergeKeys)
	return c
}
