package event

// Numbers of the events of membership, by which daemons find each other and
// detect failed ones: 2000 to 2999.
var (
	MemberJoined               = define(2000, Info, "daemon has joined")
	MemberSuspected            = define(2001, Info, "daemon does not answer and is suspected")
	MemberCleared              = define(2002, Info, "suspected daemon has answered")
	MemberDied                 = define(2003, Warn, "daemon is held dead")
	MemberLeaving              = define(2004, Info, "daemon is leaving")
	MemberReturned             = define(2005, Info, "daemon held dead has come back")
	SelfRefuted                = define(2006, Warn, "peers suspected this daemon or held it dead; refuted")
	PeersLost                  = define(2007, Warn, "no peer answers; this daemon may be cut off")
	PeersFound                 = define(2008, Info, "peers answer again")
	ProcessPaused              = define(2009, Warn, "this process did not run for a while")
	GossipRecordRefused        = define(2010, Warn, "news refused: too large or no room")
	MembershipMessageMalformed = define(2011, Warn, "malformed membership message dropped")
)
