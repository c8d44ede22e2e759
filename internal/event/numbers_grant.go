package event

// Numbers of the events of grants, routing, limits and quarantine: 4000 to 4999.
// A grant permits a daemon to send one attempt to a backend server.
var (
	GrantGiven              = define(4000, Debug, "grant given to a daemon")
	GrantReclaimed          = define(4001, Warn, "grant of a lost or silent daemon taken back")
	CoordinatorRoleAcquired = define(4002, Info, "this daemon now coordinates the backend server")
	CoordinatorRoleReleased = define(4003, Info, "this daemon no longer coordinates the backend server")
	CoordinatorDisputed     = define(4004, Warn, "two daemons disagree on the coordinator of a backend server")
	GrantRequestUnanswered  = define(4005, Info, "coordinator did not answer in time; asked elsewhere")
	GrantRequestRefused     = define(4006, Info, "no grant for the attempt, not run")
	BackendDraining         = define(4010, Info, "backend server takes no new work")
	BackendReturned         = define(4011, Info, "backend server takes new work again")
	BackendDied             = define(4012, Warn, "backend server died; it gets no work for a while")
	BackendOnTrial          = define(4013, Info, "backend server that died is tried again with one request")
	ContentSuspected        = define(4020, Warn, "content was running on a backend server that died")
	ContentCleared          = define(4021, Info, "suspect content has completed")
	ContentQuarantined      = define(4022, Error, "content killed a backend server while it ran there alone; it is refused")
)
