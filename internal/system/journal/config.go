package journal

import "time"

const (
	defaultShards        = 16
	defaultWriteBudget   = 300 // writes per second
	defaultGroupDelay    = 60 * time.Millisecond
	defaultRetryAfter    = 2 * time.Second
	defaultTryFor        = 2 * time.Second
	defaultRetention     = 24 * time.Hour
	defaultRefreshEvery  = 5 * time.Second
	defaultRetryDelay    = 100 * time.Millisecond
	defaultTakeoverDelay = time.Second
	defaultTakeoverMax   = time.Minute
	defaultUnseenGrace   = 5 * time.Second
	defaultReleaseGrace  = 500 * time.Millisecond
	defaultInlineLimit   = 8 << 10   // bytes
	defaultBatchBytes    = 192 << 10 // bytes
	defaultHotKeys       = 16384
	defaultHotBytes      = 4 << 20  // bytes
	defaultPartBytes     = 32 << 10 // bytes
	defaultMergeCount    = 16
	defaultMergeKeys     = 1 << 18

	retryDelayMax = 2 * time.Second
	downPollEvery = time.Second
	heldBytesMax  = 8 << 20 // bytes of unwritten answers kept for each shard
	queryLimit    = 400     // rows of one page
	trimLimit     = 50      // rows deleted in one transaction
)

func withDefaults(c Config) Config {
	setDefault(&c.Shards, defaultShards)
	setDefault(&c.WriteBudget, defaultWriteBudget)
	setDefault(&c.GroupDelay, defaultGroupDelay)
	setDefault(&c.RetryAfter, defaultRetryAfter)
	setDefault(&c.TryFor, defaultTryFor)
	setDefault(&c.Retention, defaultRetention)
	setDefault(&c.RefreshEvery, defaultRefreshEvery)
	setDefault(&c.RetryDelay, defaultRetryDelay)
	setDefault(&c.TakeoverDelay, defaultTakeoverDelay)
	setDefault(&c.TakeoverMax, defaultTakeoverMax)
	setDefault(&c.UnseenGrace, defaultUnseenGrace)
	setDefault(&c.ReleaseGrace, defaultReleaseGrace)
	setDefault(&c.InlineLimit, defaultInlineLimit)
	setDefault(&c.BatchBytes, defaultBatchBytes)
	setDefault(&c.HotKeys, defaultHotKeys)
	setDefault(&c.HotBytes, defaultHotBytes)
	setDefault(&c.PartBytes, defaultPartBytes)
	setDefault(&c.MergeCount, defaultMergeCount)
	setDefault(&c.MergeKeys, defaultMergeKeys)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
