package exchange

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// A daemon may lose its path to all backend servers while callers, the table service and the
// other daemons still reach it. It learns that from its own connections: when several servers of
// a service fail one after the other, or none answers, it probes others that are not known to
// have died, and if none of these takes a connection either, the path counts as lost. Whether the
// servers or the path have failed makes no difference to what it does then: it has other daemons
// forward its requests that do reach the service, if there are any (see forward.go).

const (
	// pathProofs is the number of servers that must take no connection of a probe, if the
	// service has as many, for their path to count as lost.
	pathProofs = 3
	// minPathSilence is the time without any proof of the path that must have passed then.
	minPathSilence = 300 * time.Millisecond
	// unansweredLimit is the time after a send in which any server of the service must have
	// begun to answer, for the path not to be probed.
	unansweredLimit = 400 * time.Millisecond
	// pathProbeInterval is the time between two rounds of probes of a path in doubt.
	pathProbeInterval = 700 * time.Millisecond
	// idleProbeInterval is the time without proof of any path after which a daemon probes one:
	// it would else learn of a cut by its next callers' requests.
	idleProbeInterval = time.Second
)

// servicePath is what this daemon knows of its path to the backend servers of a service.
type servicePath struct {
	provedAt        time.Time                // when a server last answered or took a connection
	failed          []pathFailure            // of servers' connections, the last of each, unless disproved since
	unreachable     []entity.BackendServerID // those of them that took no connection of a probe
	refused         []datedProcessDeath      // that have died, unless the path is lost
	doubted         []entity.ServerProcess   // whose refusals were taken for the path's: to be probed when it is proved
	unansweredSince time.Time                // first send since then; zero: none
	probedAt        time.Time                // when the last round of probes began
	lostAt          time.Time                // since when the path counts as lost; zero: it does not
}

// pathFailure is a failure of this daemon's connection to a server before an answer.
type pathFailure struct {
	server entity.BackendServerID
	at     time.Time
}

// doubtful reports whether more than one server has failed without a proof since. A connection
// that is refused then says more about the path than about the server.
func (p *servicePath) doubtful() bool { return !p.lostAt.IsZero() || len(p.failed) > 1 }

// pathTable holds the paths to the services.
type pathTable struct {
	rows      *entity.Table[entity.ServiceName, servicePath]
	rng       *rand.Rand // of its own, so that probes change no other draw
	idleSince time.Time  // when any path was last proved or probed for want of traffic
	lost      []string   // addresses of servers whose idle connections are of no use any more
}

func newPathTable(cfg *Config) pathTable {
	return pathTable{rows: entity.NewTable[entity.ServiceName, servicePath](), rng: processRand(&cfg.Self), idleSince: cfg.Started}
}

func (t *pathTable) row(service entity.ServiceName) *servicePath {
	return t.rows.GetOrPut(service)
}

// pathLost reports whether this daemon reaches no backend server of a service.
func (c *Core) pathLost(service entity.ServiceName) bool {
	row := c.paths.rows.Get(service)
	return row != nil && !row.lostAt.IsZero()
}

// pathDoubtful reports whether failed connections to a process may be due to the path.
func (c *Core) pathDoubtful(p entity.ServerProcess) bool {
	server := c.servers.Get(p.Server)
	if server == nil {
		return false
	}
	row := c.paths.rows.Get(server.Service)
	return row != nil && row.doubtful()
}

// unreachableServices returns the services whose backend servers this daemon does not reach.
func (c *Core) unreachableServices() []entity.ServiceName {
	var out []entity.ServiceName
	c.paths.rows.All(func(service entity.ServiceName, row *servicePath) bool {
		if !row.lostAt.IsZero() {
			out = append(out, service)
		}
		return true
	})
	return out
}

// pathSent records that a request was sent to a server of a service.
func (c *Core) pathSent(now time.Time, service entity.ServiceName) {
	if row := c.paths.row(service); row.unansweredSince.IsZero() {
		row.unansweredSince = now
	}
}

// pathProved records that a server of a service has answered what this daemon sent at the given
// time, or taken a connection of a probe that began then. That disproves earlier failures of the
// path, so that what was refused then has died; later ones it does not: answers to earlier sends
// still arrive in a cut, or connections live on while new ones are refused.
func (c *Core) pathProved(now time.Time, service entity.ServiceName, begun time.Time) {
	row := c.paths.row(service)
	c.paths.idleSince = now
	row.provedAt, row.unansweredSince = now, time.Time{}
	if row.lostAt.After(begun) {
		return
	}
	if !row.lostAt.IsZero() {
		c.logEvent(event.Event{Number: event.ServerPathRegained, Attrs: []event.Attr{
			event.A("service", service), event.A("lost_ms", now.Sub(row.lostAt).Milliseconds()),
		}})
	}
	row.lostAt = time.Time{}
	row.disproveFailures(begun)
	for _, d := range row.takeRefused(begun) {
		c.recordDeath(now, d.at, d.process, proofRefused)
	}
	c.probeDoubted(now, row)
}

// probeDoubted probes the processes whose refusals were taken for the path's, once that is proved:
// some may have died before it was lost, or meanwhile, and with their deaths the content that ended
// them would stay unknown.
func (c *Core) probeDoubted(now time.Time, row *servicePath) {
	for _, p := range row.doubted {
		if server := c.servers.Get(p.Server); server != nil && server.process() == p && !c.deaths.isDead(now, p) {
			c.deaths.probe(now, Probe{Process: p, Address: server.Address})
		}
	}
	row.doubted = nil
}

// disproveFailures removes the failures up to the begin of a proof.
func (p *servicePath) disproveFailures(begun time.Time) {
	p.failed = slices.DeleteFunc(p.failed, func(f pathFailure) bool { return !f.at.After(begun) })
	p.unreachable = slices.DeleteFunc(p.unreachable, func(id entity.BackendServerID) bool { return !p.hasFailed(id) })
}

// hasFailed reports whether a server's failure is on record.
func (p *servicePath) hasFailed(id entity.BackendServerID) bool {
	return slices.ContainsFunc(p.failed, func(f pathFailure) bool { return f.server == id })
}

// takeRefused removes and returns the processes that refused connections up to a time.
func (p *servicePath) takeRefused(until time.Time) []datedProcessDeath {
	var out []datedProcessDeath
	p.refused = slices.DeleteFunc(p.refused, func(d datedProcessDeath) bool {
		if !d.at.After(until) {
			out = append(out, d)
			return true
		}
		return false
	})
	return out
}

// recordRefusal records that a process refuses connections: it has died, unless the path to it is
// lost, which is found out if others have failed too.
func (c *Core) recordRefusal(now time.Time, p entity.ServerProcess) {
	if !c.pathDoubtful(p) {
		c.recordDeath(now, now, p, proofRefused)
		return
	}
	row := c.paths.row(c.servers.Get(p.Server).Service)
	if row.lostAt.IsZero() {
		row.refused = append(row.refused, datedProcessDeath{p, now})
		return
	}
	row.doubt(p)
}

// doubt has a process probed when the path is proved.
func (p *servicePath) doubt(process entity.ServerProcess) {
	if !slices.Contains(p.doubted, process) {
		p.doubted = append(p.doubted, process)
	}
}

// pathFailed records that this daemon's connection to a server has failed before an answer.
func (c *Core) pathFailed(now time.Time, service entity.ServiceName, id entity.BackendServerID) {
	row := c.paths.row(service)
	row.failed = slices.DeleteFunc(row.failed, func(f pathFailure) bool { return f.server == id })
	row.failed = append(row.failed, pathFailure{id, now})
	if row.lostAt.IsZero() && row.doubtful() && now.Sub(row.probedAt) >= minPathSilence {
		c.probePath(now, service, row, pathProofs)
	}
}

func appendNew(list []entity.BackendServerID, id entity.BackendServerID) []entity.BackendServerID {
	if slices.Contains(list, id) {
		return list
	}
	return append(list, id)
}

// judgePath decides whether a path counts as lost.
func (c *Core) judgePath(now time.Time, service entity.ServiceName, row *servicePath) {
	if !row.lostAt.IsZero() || len(row.unreachable) == 0 || now.Sub(row.provedAt) < minPathSilence {
		return
	}
	if len(row.unreachable) < min(pathProofs, len(c.probeTargets(now, service))) {
		return
	}
	c.losePath(now, service, row)
	c.paths.rows.All(func(other entity.ServiceName, r *servicePath) bool {
		// Services without traffic share the daemon's fate until their own probes show otherwise.
		if r.lostAt.IsZero() && now.Sub(r.provedAt) >= minPathSilence {
			c.losePath(now, other, r)
		}
		return true
	})
}

// losePath has a service's requests forwarded by other daemons from now on. What was recorded of
// the servers' failures is the path's.
func (c *Core) losePath(now time.Time, service entity.ServiceName, row *servicePath) {
	for _, d := range row.refused {
		row.doubt(d.process)
	}
	row.lostAt, row.probedAt, row.refused = now, time.Time{}, nil
	for _, server := range c.usableServers(now, service) {
		c.placer.ForgetFailures(server.ID)
		c.paths.lost = append(c.paths.lost, server.Address)
	}
	c.logEvent(event.Event{Number: event.ServerPathLost, Attrs: []event.Attr{
		event.A("service", service), event.A("unreachable", row.unreachable), event.A("proved_ms_ago", now.Sub(row.provedAt).Milliseconds()),
		event.A("forwarders", len(c.forwarders(now, service))),
	}})
}

// usableServers returns the servers of a service that may get requests.
func (c *Core) usableServers(now time.Time, service entity.ServiceName) []*serverRow {
	var out []*serverRow
	c.servers.All(func(id entity.BackendServerID, row *serverRow) bool {
		if row.Service == service && c.usable(now, id) {
			out = append(out, row)
		}
		return true
	})
	return out
}

// TakeLostAddresses returns the addresses of the servers to which the path was lost since the
// last call. Idle connections to them may hang.
func (c *Core) TakeLostAddresses() []string {
	out := c.paths.lost
	c.paths.lost = nil
	return out
}

// tickPaths judges the paths to the services and requests probes of those in doubt, of those
// that are lost, and of one if there has been no proof of any.
func (c *Core) tickPaths(now time.Time) {
	c.paths.rows.All(func(service entity.ServiceName, row *servicePath) bool {
		c.judgePath(now, service, row)
		unanswered := !row.unansweredSince.IsZero() && now.Sub(row.unansweredSince) >= unansweredLimit
		switch {
		case !row.lostAt.IsZero():
			c.probePath(now, service, row, 1)
		case (unanswered || len(row.failed) > 0) && now.Sub(row.probedAt) >= pathProbeInterval:
			c.probePath(now, service, row, pathProofs)
		}
		return true
	})
	if now.Sub(c.paths.idleSince) >= idleProbeInterval {
		c.paths.idleSince = now
		c.probeIdlePath(now)
	}
}

// probePath requests probes of some servers of a service.
func (c *Core) probePath(now time.Time, service entity.ServiceName, row *servicePath, count int) {
	row.probedAt = now
	servers := c.probeTargets(now, service)
	c.paths.rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	for _, server := range servers[:min(count, len(servers))] {
		c.deaths.probes = append(c.deaths.probes, Probe{Process: server.process(), Address: server.Address, Path: service, begun: now})
	}
}

// probeTargets returns the servers of a service that prove its path if they take a connection:
// those that have not died, as far as is known, unless all have.
func (c *Core) probeTargets(now time.Time, service entity.ServiceName) []*serverRow {
	usable := c.usableServers(now, service)
	var alive []*serverRow
	for _, server := range usable {
		if !c.deaths.isDead(now, server.process()) {
			alive = append(alive, server)
		}
	}
	if len(alive) == 0 {
		return usable
	}
	return alive
}

// probeIdlePath requests a probe of the path to one of the services.
func (c *Core) probeIdlePath(now time.Time) {
	services := c.paths.rows.Keys()
	if len(services) == 0 {
		return
	}
	service := services[c.paths.rng.IntN(len(services))]
	if row := c.paths.row(service); row.lostAt.IsZero() {
		c.probePath(now, service, row, 1)
	}
}

// pathProbeEnded records the result of a probe of a path.
func (c *Core) pathProbeEnded(now time.Time, p Probe, result ProbeResult) {
	if result == Reachable {
		c.pathProved(now, p.Path, p.begun)
		return
	}
	row := c.paths.row(p.Path)
	row.unreachable = appendNew(row.unreachable, p.Process.Server)
	c.pathFailed(now, p.Path, p.Process.Server)
	c.judgePath(now, p.Path, row)
}

// recordPath records what the end of an attempt over this daemon's own connection says of the
// path.
func (c *Core) recordPath(now time.Time, t *Ticket, o Outcome) {
	if t.forwarder != "" {
		return
	}
	switch o {
	case Answered, Rejected, Misdirected, Failed:
		c.pathProved(now, t.Service, t.sentAt)
	case NotSent, NotListening:
		c.pathFailed(now, t.Service, t.process.Server)
	case Broken:
		if !t.answerStarted {
			c.pathFailed(now, t.Service, t.process.Server)
		}
	}
}
