package fleet

import (
	"fmt"
	"strings"
)

// Reason is one line of a plan's explanation.
type Reason string

func (p *Plan) because(format string, args ...any) {
	p.Why = append(p.Why, Reason(fmt.Sprintf(format, args...)))
}

// Explain says what the plan does and why, for operators.
func (p Plan) Explain() string {
	var b strings.Builder
	for _, r := range p.Why {
		fmt.Fprintln(&b, r)
	}
	fmt.Fprintf(&b, "after this plan: %.3f an hour\n", p.Cost)
	return b.String()
}

func (p *Plan) explainAllocation(s State, m market, a allocation) {
	starting, serving, leaving := 0, 0, 0
	for _, server := range s.Servers {
		switch server.State {
		case Starting:
			starting++
		case Serving:
			serving++
		case Leaving:
			leaving++
		}
	}
	p.because("service %s: the load needs %d servers; %d serve, %d start, %d leave", s.Service, s.Need, serving, starting, leaving)
	p.because("target %d, so that %d are left when one data centre is lost (minimum %d)", a.target, a.keep(), s.Policy.MinServers)
	for _, o := range m.offers {
		p.because("offer %s: %.3f an hour, %.3f with reclaims", o.choice, o.perHour, o.effective)
	}
	for _, c := range s.Refused {
		p.because("no capacity now: %s", c)
	}
	if p.Short {
		p.because("the offers do not allow for the target: %d missing under load, %d after the loss of a data centre", a.needDeficit, a.keepDeficit)
	}
}
