package event

// Numbers of the events of the fleet planner: 8000 to 8099.
var (
	FleetLeaseAcquired   = define(8000, Info, "this daemon plans the service's fleet from now on")
	FleetLeaseLost       = define(8001, Warn, "another daemon plans the service's fleet")
	FleetLeaseReleased   = define(8002, Info, "this daemon has given the service's fleet up")
	FleetTableDown       = define(8003, Warn, "fleet intents cannot be recorded; only reserved orders are placed")
	FleetTableUp         = define(8004, Info, "fleet intents can be recorded again")
	FleetLaunchRequested = define(8010, Info, "instance ordered")
	FleetStarted         = define(8011, Info, "instance started")
	FleetLaunchRefused   = define(8012, Warn, "order for an instance refused; the next choice is taken")
	FleetLaunchUncertain = define(8013, Warn, "outcome of an order unknown; it is sent again with the same token")
	FleetAdopted         = define(8014, Warn, "instance with our tag but without intent taken into the fleet")
	FleetServerLost      = define(8015, Warn, "instance reclaimed or gone")
	FleetDrainStarted    = define(8020, Info, "backend server is drained before its instance is stopped")
	FleetDrainSlow       = define(8021, Warn, "backend server still drains")
	FleetStopRequested   = define(8022, Info, "drained instance is stopped")
	FleetStopped         = define(8023, Info, "instance stopped")
	FleetBelowTarget     = define(8030, Warn, "the fleet cannot reach its target")
)
