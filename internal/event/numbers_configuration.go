package event

// Numbers of the events of replicated configuration: 5000 to 5999.
var (
	ConfigurationInForce         = define(5000, Info, "a newer configuration is in force on this daemon")
	ConfigurationChangeAccepted  = define(5001, Info, "an operator's change has been accepted")
	ConfigurationChangeConflict  = define(5002, Info, "an operator's change met another one and was not made")
	ConfigurationChangeRefused   = define(5003, Info, "an operator's change is faulty and was not made")
	ConfigurationChangeUndecided = define(5004, Warn, "an operator's change got no final reply from the table in time")
	ConfigurationUnreadable      = define(5005, Error, "a stored service document cannot be read by this release; the older one stays in force")
	ConfigurationRegressed       = define(5006, Error, "the table holds an older configuration than the one in force; it is ignored")
	ConfigurationRevisionMissing = define(5007, Warn, "a peer told of a revision that the table does not have")
	ConfigurationReadUnanswered  = define(5008, Info, "the table did not answer a read of the configuration")
	ConfigurationFromPeer        = define(5009, Info, "service documents were taken from a peer")
)
