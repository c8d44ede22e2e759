package fleet

import (
	"net"
	"strconv"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// BackendServers returns the backend servers of a managed service: one on each
// running instance in the platform's list that carries the service's tag, named
// by the instance's ID. Their locations have no region, as the list does not
// contain it.
func BackendServers(svc entity.Service, list []provider.Instance) []entity.BackendServer {
	if svc.Mode != entity.ModeManage {
		return nil
	}
	var out []entity.BackendServer
	for _, i := range list {
		if i.Tags[ServiceTag] != string(svc.Name) || i.State != provider.Running {
			continue
		}
		out = append(out, entity.BackendServer{
			ID:           entity.BackendServerID(i.ID),
			Service:      svc.Name,
			Address:      addressOf(svc, i),
			Location:     entity.Location{DataCentre: i.DataCentre},
			Slots:        svc.Fleet.SlotsPerHost,
			ChecksFences: svc.Fleet.ChecksFences,
		})
	}
	return out
}

func addressOf(svc entity.Service, i provider.Instance) string {
	if address := i.Tags[AddressTag]; address != "" {
		return address
	}
	return net.JoinHostPort(i.Address, strconv.Itoa(svc.Fleet.Port))
}
