package command

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

type statusCommand struct {
	adminFlags
}

// fleetStatus is the status of all daemons, and the JSON output of the status
// subcommand.
type fleetStatus struct {
	Revision uint64                   `json:"revision"` // the highest revision that any daemon knows of
	Daemons  []daemonRow              `json:"daemons"`
	Services []adminapi.ServiceStatus `json:"services"` // as the queried daemon knows them, but with the requests in flight of all daemons that answered
}

// daemonRow is the status of one daemon as reported by itself or, if it does not
// answer, what the queried daemon knows of it.
type daemonRow struct {
	adminapi.DaemonStatus
	State string `json:"state"` // as the queried daemon knows it; "asked" for the queried daemon itself
	Error string `json:"error,omitempty"`
}

func (s *statusCommand) run(ctx context.Context, e *environment) error {
	c, err := s.newClient()
	if err != nil {
		return err
	}
	queried, err := c.Status(ctx)
	if err != nil {
		return err
	}
	fleet := collectFleetStatus(ctx, c, queried)
	e.printResult(fleet, func(w io.Writer) { fleet.writeText(w) })
	return nil
}

// collectFleetStatus queries the peers of a daemon and combines their status with
// that of the daemon itself, queried.
func collectFleetStatus(ctx context.Context, c *adminapi.Client, queried adminapi.Status) fleetStatus {
	fleet := fleetStatus{Services: queried.Services, Daemons: []daemonRow{{DaemonStatus: queried.Daemon, State: "asked"}}}
	fetch := func(ctx context.Context, c *adminapi.Client) (adminapi.Status, error) { return c.Status(ctx) }
	for _, r := range queryPeers(ctx, c, queried.Peers, fetch) {
		row := daemonRow{DaemonStatus: r.value.Daemon, State: r.peer.State}
		if r.err != nil {
			row.DaemonStatus = adminapi.DaemonStatus{Instance: r.peer.Instance, Location: r.peer.Location}
			row.Error = r.err.Error()
		}
		fleet.addInFlight(r.value.Services)
		fleet.Daemons = append(fleet.Daemons, row)
	}
	for _, d := range fleet.Daemons {
		fleet.Revision = max(fleet.Revision, d.Head, d.Revision)
	}
	return fleet
}

// addInFlight adds the requests that another daemon has in flight on each backend
// server.
func (f *fleetStatus) addInFlight(services []adminapi.ServiceStatus) {
	inFlight := map[entity.BackendServerID]int{}
	for _, s := range services {
		for _, b := range s.BackendServers {
			inFlight[b.ID] += b.InFlight
		}
	}
	for _, s := range f.Services {
		for i := range s.BackendServers {
			s.BackendServers[i].InFlight += inFlight[s.BackendServers[i].ID]
		}
	}
}

func (f *fleetStatus) writeText(w io.Writer) {
	behind := 0
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "DAEMON\tDATA CENTRE\tSTATE\tREVISION\tCURRENT\tIN FLIGHT\tVERSION\tNOTE")
	for _, d := range f.Daemons {
		if d.Error != "" {
			fmt.Fprintf(t, "%s\t%s\t%s\t?\t?\t?\t?\t%s\n", d.Instance, d.Location.DataCentre, d.State, d.Error)
			continue
		}
		if d.Revision < f.Revision {
			behind++
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%v\t%d\t%s\t%s\n",
			d.Instance, d.Location.DataCentre, d.State, d.Revision, d.ConfigurationCurrent, d.InFlight, d.Version, d.NotReady)
	}
	_ = t.Flush()
	fmt.Fprintf(w, "\nrevision %d; %d daemons behind it\n\n", f.Revision, behind)
	fmt.Fprintln(t, "SERVICE\tREVISION\tMODE\tKIND\tBACK END\tADDRESS\tDATA CENTRE\tSTATE\tIN FLIGHT\tSLOTS")
	for _, s := range f.Services {
		for _, b := range s.BackendServers {
			fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n",
				s.Service, s.Revision, s.Mode, s.Kind, b.ID, b.Address, b.Location.DataCentre, b.State, b.InFlight, b.Slots)
		}
		if len(s.BackendServers) == 0 {
			fmt.Fprintf(t, "%s\t%d\t%s\t%s\t-\t-\t-\t-\t-\t-\n", s.Service, s.Revision, s.Mode, s.Kind)
		}
	}
	_ = t.Flush()
}
