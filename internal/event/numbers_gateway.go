package event

// Numbers of the events of the gateway: 6000 to 6999. An exchange is one HTTP
// request that the gateway forwards, with its response.
var (
	ExchangeAnswered  = define(6000, Info, "exchange answered")
	ExchangeRefused   = define(6001, Info, "exchange refused or failed")
	ExchangeAbandoned = define(6002, Info, "caller left before the end of the answer")
	ExchangeTruncated = define(6003, Warn, "answer cut off midway")

	GatewayConfigurationApplied = define(6100, Info, "configuration in force")
	ConfigurationIgnored        = define(6101, Warn, "configuration ignored")
	ConfigurationPartlyUnusable = define(6102, Warn, "part of the configuration cannot be served")
	ServerListed                = define(6110, Info, "backend server listed or changed")
	ServerUnlisted              = define(6111, Info, "backend server no longer listed")
	ServerEntryIgnored          = define(6112, Warn, "entry of a backend server ignored")
	ServerEntryOutdated         = define(6113, Info, "entry of a backend server older than a known one ignored")
	DependencyLost              = define(6120, Warn, "dependency lost")
	DependencyRegained          = define(6121, Info, "dependency regained")
	TableRestored               = define(6123, Warn, "table service restored from a backup; rows of its newest writes are lost")
	ReadinessChanged            = define(6122, Info, "readiness changed")
	ServerDeathProved           = define(6140, Warn, "backend server has died")
	ContentDeathRecorded        = define(6141, Warn, "backend server died while it ran the content of a request")
	ContentRefused              = define(6142, Warn, "content of a request refused from now on: too many backend servers died while they ran it")
	SuspectContentCompleted     = define(6143, Info, "content of a request has completed after backend servers had died while they ran it")
	ServerDeathDisproved        = define(6144, Warn, "backend server that counted as dead answers")
	ServerLimitStated           = define(6150, Info, "backend server states a limit of requests per second")
	ServerLimitEnded            = define(6151, Info, "backend server states no limit any more")
	ServerLimitIgnored          = define(6152, Warn, "invalid limit of a backend server ignored")
	PeerSeen                    = define(6130, Info, "daemon heard")
	PeerSilent                  = define(6131, Warn, "daemon silent")

	LeaseAcquired     = define(6200, Info, "lease of the fleet's duties taken")
	LeaseLost         = define(6201, Warn, "lease of the fleet's duties lost")
	LeaseNotAcquired  = define(6202, Warn, "lease of the fleet's duties could not be taken")
	UsageReported     = define(6210, Info, "usage reported")
	UsageReportFailed = define(6211, Warn, "usage report failed")
	UsageNotComposed  = define(6212, Warn, "usage window left out: its report may have been sent before the table service was restored")
	ScalingRequested  = define(6220, Info, "backend servers ordered")
	ScalingFailed     = define(6221, Warn, "order of backend servers failed")

	GatewayStarted  = define(6900, Info, "gateway started")
	GatewayDraining = define(6901, Info, "gateway stops taking callers")
	GatewayStopped  = define(6902, Info, "gateway stopped")

	GatewayStopTooShort = define(6906, Warn, "time of a planned stop is over: requests in flight are ended")
)
