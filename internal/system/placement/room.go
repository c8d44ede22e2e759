package placement

import "github.com/gooseberryslip/gooseberryslip/internal/entity"

// SlotSeconds returns the time in seconds for which requests with the given work hold slots
// of the service's backend servers.
func (p *Placer) SlotSeconds(service entity.ServiceName, requests float64, d Demand) float64 {
	s := p.speed(service)
	if d.Prompt == 0 && d.Output == 0 {
		return requests * s.requestMillis / 1000
	}
	return (requests*s.firstEvent.predict(0) + d.Prompt*s.firstEvent.millisPerToken() + d.Output*s.outputTokenMillis.value) / 1000
}
