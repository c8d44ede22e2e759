package exchange

import (
	"fmt"
	"strings"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Problems describes the faults of a configuration: for each, the route or
// organisation that has it and the reason.
// The parts that are not faulty are served nevertheless.
func (d *Document) Problems() []string {
	var out []string
	services := make(map[entity.ServiceName]bool, len(d.Services))
	for i := range d.Services {
		services[d.Services[i].Name] = true
	}
	for i := range d.Routes {
		out = append(out, d.Routes[i].problems(services)...)
	}
	keyOwners := map[string]entity.OrganisationID{}
	for i := range d.Organisations {
		o := &d.Organisations[i]
		for _, key := range o.Keys {
			if other, exists := keyOwners[key]; exists && other != o.ID {
				out = append(out, fmt.Sprintf("organisation %q: a key is also that of %q", o.ID, other))
			}
			keyOwners[key] = o.ID
		}
	}
	return out
}

func (r *Route) problems(services map[entity.ServiceName]bool) []string {
	var out []string
	add := func(format string, args ...any) {
		out = append(out, fmt.Sprintf("route %q: ", r.Name)+fmt.Sprintf(format, args...))
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		add("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if len(r.Targets) == 0 {
		add("names no service")
	}
	for _, t := range r.Targets {
		if !services[t.Service] {
			add("service %q is not defined", t.Service)
		}
		if t.Weight < 0 {
			add("service %q has the negative weight %d", t.Service, t.Weight)
		}
	}
	return out
}
