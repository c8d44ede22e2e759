package event

// Numbers of the events of requests: 1000 to 1999.
var (
	RequestAccepted   = define(1000, Info, "request accepted")
	RequestRefused    = define(1001, Info, "request refused, not run")
	RequestAnswered   = define(1002, Info, "request answered")
	RequestFailed     = define(1003, Warn, "request given up")
	AttemptDispatched = define(1010, Debug, "attempt sent to a backend server")
	AttemptFailed     = define(1011, Info, "attempt failed")
	AttemptRetried    = define(1012, Info, "another attempt will be made")
	ReplyDropped      = define(1013, Info, "late or crossed reply dropped")
	CallerLost        = define(1014, Info, "caller's connection closed before the answer")
	AttemptHedged     = define(1015, Info, "another backend server is asked for beside a silent attempt")
	HandoffOffered    = define(1020, Info, "request offered to another daemon")
	HandoffAccepted   = define(1021, Info, "request taken over from another daemon")
	HandoffConfirmed  = define(1022, Info, "another daemon has taken the request over")
	HandoffFailed     = define(1023, Warn, "no daemon has taken the request over")
)

// Numbers of the events of the daemon process: 9000 to 9999.
var (
	DaemonStarted    = define(9000, Info, "daemon started")
	DaemonDraining   = define(9001, Info, "daemon stops taking callers")
	DaemonStopped    = define(9002, Info, "daemon stopped")
	DaemonIsolated   = define(9003, Warn, "daemon cannot know whether its configuration is current; takes no callers")
	DaemonConnected  = define(9004, Info, "daemon's configuration is current again")
	ReclaimAnnounced = define(9005, Warn, "reclaim of this instance announced")
)
