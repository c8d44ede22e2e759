package event

// Numbers of the events of the journal of requests with an idempotency key: 3000
// to 3999.
var (
	JournalShardAcquired  = define(3000, Info, "journal shard taken over")
	JournalShardLost      = define(3001, Warn, "journal shard lost to another daemon")
	JournalShardReleased  = define(3002, Info, "journal shard released")
	JournalTableDown      = define(3003, Warn, "journal cannot write; new keyed requests are refused")
	JournalTableUp        = define(3004, Info, "journal can write again")
	JournalClaimed        = define(3010, Debug, "claim committed")
	JournalAnswered       = define(3011, Debug, "answer committed")
	JournalAnswerDropped  = define(3012, Warn, "answer dropped, another was committed first or may be")
	JournalClaimAbandoned = define(3013, Info, "claim recorded as given up undispatched")
	JournalSegmentSealed  = define(3020, Info, "journal segment sealed")
	JournalSegmentMerged  = define(3021, Info, "journal segments merged")
	JournalSegmentStale   = define(3022, Info, "journal segment past its retention dropped")
	JournalRowUnreadable  = define(3030, Error, "journal row or object cannot be decoded")
)
