package fleet

import (
	"fmt"
	"strings"
)

// Reason is one line of a plan's explanation.
type Reason string

func (p *Plan) addReason(format string, args ...any) {
	p.Reasons = append(p.Reasons, Reason(fmt.Sprintf(format, args...)))
}

// Explain returns a text for operators that says what the plan does and why.
func (p Plan) Explain() string {
	var b strings.Builder
	for _, r := range p.Reasons {
		fmt.Fprintln(&b, r)
	}
	fmt.Fprintf(&b, "after this plan: %.3f an hour\n", p.Cost)
	return b.String()
}

func (p *Plan) explainAllocation(s State, m priceTable, a allocation) {
	starting, serving, draining := 0, 0, 0
	for _, server := range s.Servers {
		switch server.State {
		case Starting:
			starting++
		case Serving:
			serving++
		case Draining:
			draining++
		}
	}
	p.addReason("service %s: the load needs %d servers; %d serve, %d start, %d leave", s.Service, s.Need, serving, starting, draining)
	p.addReason("target %d, so that %d are left when one data centre is lost (minimum %d)", a.target, a.afterLoss(), s.Policy.MinServers)
	for _, o := range m.offers {
		p.addReason("offer %s: %.3f an hour, %.3f with reclaims", o.choice, o.perHour, o.effectivePerHour)
	}
	for _, c := range s.Refused {
		p.addReason("no capacity now: %s", c)
	}
	if p.TargetUnmet {
		p.addReason("the offers do not allow for the target: %d missing under load, %d after the loss of a data centre", a.needDeficit, a.lossDeficit)
	}
}
