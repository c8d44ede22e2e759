package command

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

type status struct {
	remote
}

// fleetStatus is the status of all daemons in JSON.
type fleetStatus struct {
	Revision uint64                   `json:"revision"` // the highest that any daemon knows of
	Daemons  []daemonLine             `json:"daemons"`
	Services []adminapi.ServiceStatus `json:"services"` // requests in flight of all daemons that answered
}

// daemonLine is one daemon: as it says itself, or as the asked one knows it.
type daemonLine struct {
	adminapi.DaemonStatus
	State string `json:"state"` // as the asked daemon knows it
	Error string `json:"error,omitempty"`
}

func (s *status) run(ctx context.Context, e *environment) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	asked, err := c.Status(ctx)
	if err != nil {
		return err
	}
	fleet := collect(ctx, c, asked)
	e.print(fleet, func(w io.Writer) { fleet.write(w) })
	return nil
}

func collect(ctx context.Context, c *adminapi.Client, asked adminapi.Status) fleetStatus {
	fleet := fleetStatus{Services: asked.Services, Daemons: []daemonLine{{DaemonStatus: asked.Daemon, State: "asked"}}}
	ask := func(ctx context.Context, c *adminapi.Client) (adminapi.Status, error) { return c.Status(ctx) }
	for _, r := range askAll(ctx, c, asked.Peers, ask) {
		line := daemonLine{DaemonStatus: r.value.Daemon, State: r.peer.State}
		if r.err != nil {
			line.DaemonStatus = adminapi.DaemonStatus{Instance: r.peer.Instance, Place: r.peer.Place}
			line.Error = r.err.Error()
		}
		fleet.addInFlight(r.value.Services)
		fleet.Daemons = append(fleet.Daemons, line)
	}
	for _, d := range fleet.Daemons {
		fleet.Revision = max(fleet.Revision, d.Head, d.Revision)
	}
	return fleet
}

// addInFlight adds another daemon's requests to those of each backend server.
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

func (f *fleetStatus) write(w io.Writer) {
	behind := 0
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "DAEMON\tDATA CENTRE\tSTATE\tREVISION\tCURRENT\tIN FLIGHT\tVERSION\tNOTE")
	for _, d := range f.Daemons {
		if d.Error != "" {
			fmt.Fprintf(t, "%s\t%s\t%s\t?\t?\t?\t?\t%s\n", d.Instance, d.Place.DataCentre, d.State, d.Error)
			continue
		}
		if d.Revision < f.Revision {
			behind++
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%v\t%d\t%s\t%s\n",
			d.Instance, d.Place.DataCentre, d.State, d.Revision, d.Current, d.InFlight, d.Version, d.NotReady)
	}
	_ = t.Flush()
	fmt.Fprintf(w, "\nrevision %d; %d daemons behind it\n\n", f.Revision, behind)
	fmt.Fprintln(t, "SERVICE\tREVISION\tMODE\tKIND\tBACK END\tADDRESS\tDATA CENTRE\tSTATE\tIN FLIGHT\tSLOTS")
	for _, s := range f.Services {
		for _, b := range s.BackendServers {
			fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n",
				s.Service, s.Revision, s.Mode, s.Kind, b.ID, b.Address, b.Place.DataCentre, b.State, b.InFlight, b.Slots)
		}
		if len(s.BackendServers) == 0 {
			fmt.Fprintf(t, "%s\t%d\t%s\t%s\t-\t-\t-\t-\t-\t-\n", s.Service, s.Revision, s.Mode, s.Kind)
		}
	}
	_ = t.Flush()
}
