package servicedoc

import (
	"net/netip"
	"regexp"
	"strconv"
	"strings"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/tomldoc"
)

const (
	maxOrganisations  = 4096
	maxBackendServers = 4096
	maxWeight         = 10_000
	maxAttempts       = 10
	maxSlots          = 4096
	maxPort           = 65535
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern = regexp.MustCompile(`^(\*|[A-Z]+)$`)
)

// checker checks the values of a service document and adds the problems to the
// embedded document.
type checker struct {
	*tomldoc.Document
}

// Parse reads and checks one service document. The problems give name as the
// file's name. The error is tomldoc.Problems and holds every problem of the
// document.
func Parse(name string, data []byte) (*entity.Service, error) {
	if len(data) > MaxBytes {
		c := checker{tomldoc.Empty(name)}
		c.Add("", "has %d bytes; at most %d are allowed", len(data), MaxBytes)
		return nil, c.Err()
	}
	doc := defaultDocument()
	c := checker{tomldoc.Read(name, data, doc)}
	if c.Readable() {
		c.checkService(doc)
	}
	if err := c.Err(); err != nil {
		return nil, err
	}
	return doc.toService(), nil
}

func (c checker) checkService(doc *document) {
	c.checkName("name", string(doc.Name))
	if doc.Mode != entity.ModeRoute && doc.Mode != entity.ModeManage {
		c.Add("mode", "%q is not one of route, manage", doc.Mode)
	}
	if doc.Kind != entity.KindModel && doc.Kind != entity.KindPlain {
		c.Add("kind", "%q is not one of model, plain", doc.Kind)
	}
	c.checkLatency(doc.Latency)
	c.checkRetry(doc.Retry)
	c.checkOrganisations(doc.Organisations)
	c.checkBackendServers(doc)
	c.checkCalls(doc)
	if doc.Mode == entity.ModeManage || c.Has("fleet") {
		c.checkFleet(doc)
	}
}

func (c checker) checkLatency(l latency) {
	if l.FirstToken <= 0 {
		c.Add("latency.first_token", "must be above 0")
	}
	if l.BetweenTokens <= 0 {
		c.Add("latency.between_tokens", "must be above 0")
	}
	if l.FirstTimeout < l.FirstToken {
		c.Add("latency.first_timeout", "%v is less than first_token, %v", l.FirstTimeout, l.FirstToken)
	}
	if l.TokenTimeout < l.BetweenTokens {
		c.Add("latency.token_timeout", "%v is less than between_tokens, %v", l.TokenTimeout, l.BetweenTokens)
	}
}

func (c checker) checkRetry(r retry) {
	if r.MaxAttempts < 1 || r.MaxAttempts > maxAttempts {
		c.Add("retry.max_attempts", "must be from 1 to %d", maxAttempts)
	}
	if !(r.BudgetRatio >= 0 && r.BudgetRatio <= 1) {
		c.Add("retry.budget_ratio", "must be from 0 to 1")
	}
}

func (c checker) checkOrganisations(list []organisation) {
	if len(list) == 0 || len(list) > maxOrganisations {
		c.Add("organisations", "needs from 1 to %d entries", maxOrganisations)
	}
	ids, credentials := map[string]int{}, map[string]int{}
	for i, o := range list {
		prefix := elementKey("organisations", i)
		c.checkName(prefix+".id", string(o.ID))
		c.checkUnique(prefix+".id", string(o.ID), ids)
		if !sha256Pattern.MatchString(o.CredentialSHA256) {
			c.Add(prefix+".credential_sha256", "must be 64 lower-case hex digits")
		}
		c.checkUnique(prefix+".credential_sha256", o.CredentialSHA256, credentials)
		if o.Weight < 1 || o.Weight > maxWeight {
			c.Add(prefix+".weight", "must be from 1 to %d", maxWeight)
		}
		if !(o.RequestsPerSecond > 0 && o.RequestsPerSecond <= 1e9) {
			c.Add(prefix+".requests_per_second", "must be above 0 and at most 1e9")
		}
		if o.RequestBurst < 1 {
			c.Add(prefix+".request_burst", "must be at least 1")
		}
		if !(o.TokensPerSecond >= 0 && o.TokensPerSecond <= 1e12) {
			c.Add(prefix+".tokens_per_second", "must be 0 (no limit) or above, and at most 1e12")
		}
		if o.TopPriority >= entity.PriorityCount {
			c.Add(prefix+".top_priority", "must be from 0 to %d", entity.PriorityCount-1)
		}
	}
}

func (c checker) checkBackendServers(doc *document) {
	if doc.Mode == entity.ModeRoute && len(doc.BackendServers) == 0 {
		c.Add("backend_servers", "route mode needs at least one")
	}
	if len(doc.BackendServers) > maxBackendServers {
		c.Add("backend_servers", "at most %d are allowed", maxBackendServers)
	}
	ids, addresses := map[string]int{}, map[string]int{}
	for i, b := range doc.BackendServers {
		prefix := elementKey("backend_servers", i)
		c.checkName(prefix+".id", string(b.ID))
		c.checkUnique(prefix+".id", string(b.ID), ids)
		c.checkAddress(prefix+".address", b.Address)
		c.checkUnique(prefix+".address", b.Address, addresses)
		if b.Region != "" {
			c.checkName(prefix+".region", string(b.Region))
		}
		c.checkName(prefix+".data_centre", string(b.DataCentre))
		if b.Slots < 1 || b.Slots > maxSlots {
			c.Add(prefix+".slots", "must be from 1 to %d", maxSlots)
		}
	}
}

func (c checker) checkCalls(doc *document) {
	if doc.Kind == entity.KindModel && len(doc.Calls) > 0 {
		c.Add("calls", "belongs to kind plain; each request to a model states whether it is repeatable")
	}
	seen := map[string]int{}
	for i, call := range doc.Calls {
		prefix := elementKey("calls", i)
		if !methodPattern.MatchString(call.Method) {
			c.Add(prefix+".method", `%q is not an HTTP method in capitals or "*"`, call.Method)
		}
		if !strings.HasPrefix(call.PathPrefix, "/") {
			c.Add(prefix+".path_prefix", `%q does not start with "/"`, call.PathPrefix)
		}
		if !c.Has(prefix + ".repeatable") {
			c.Add(prefix+".repeatable", "is required")
		}
		c.checkUnique(prefix+".path_prefix", call.Method+" "+call.PathPrefix, seen)
	}
}

func (c checker) checkFleet(doc *document) {
	f := doc.Fleet
	if f.MinServers < 0 {
		c.Add("fleet.min_servers", "must be 0 or above")
	}
	if f.MaxServers < max(1, f.MinServers) || f.MaxServers > maxBackendServers {
		c.Add("fleet.max_servers", "must be from %d to %d", max(1, f.MinServers), maxBackendServers)
	}
	if f.SlotsPerHost < 1 || f.SlotsPerHost > maxSlots {
		c.Add("fleet.slots_per_host", "must be from 1 to %d", maxSlots)
	}
	c.checkNames("fleet.classes", f.Classes)
	dataCentres := make([]string, len(f.DataCentres))
	for i := range f.DataCentres {
		dataCentres[i] = string(f.DataCentres[i])
	}
	c.checkNames("fleet.data_centres", dataCentres)
	if !(f.MaxHourlyCost >= 0 && f.MaxHourlyCost <= 1e9) {
		c.Add("fleet.max_hourly_cost", "must be 0 (no limit) or above, and at most 1e9")
	}
	if f.Port < 1 || f.Port > maxPort {
		c.Add("fleet.port", "must be from 1 to %d", maxPort)
	}
	if doc.Kind == entity.KindModel && f.Model == "" {
		c.Add("fleet.model", "is required for kind model")
	}
}

// checkNames checks that the list has at least one entry and that its entries are
// names without duplicates.
func (c checker) checkNames(key string, list []string) {
	if len(list) == 0 {
		c.Add(key, "needs at least one entry")
	}
	seen := map[string]int{}
	for i := range list {
		c.checkName(elementKey(key, i), list[i])
		c.checkUnique(elementKey(key, i), list[i], seen)
	}
}

func (c checker) checkName(key, value string) {
	switch {
	case value == "":
		c.Add(key, "is required")
	case !namePattern.MatchString(value):
		c.Add(key, "%q is not a name: letters, digits, '.', '_' and '-', at most 63", value)
	}
}

// checkUnique reports a value that an earlier entry has too. seen maps the values
// of the earlier entries to their lines.
func (c checker) checkUnique(key, value string, seen map[string]int) {
	if line, duplicate := seen[value]; duplicate && value != "" {
		c.Add(key, "%q stands already in line %d", value, line)
		return
	}
	seen[value] = c.Line(key)
}

func (c checker) checkAddress(key, value string) {
	a, err := netip.ParseAddrPort(value)
	switch {
	case value == "":
		c.Add(key, "is required")
	case err != nil:
		c.Add(key, "%q is not an IP number and a port, such as 10.0.0.5:9001", value)
	case a.Port() == 0 || a.Addr().IsUnspecified():
		c.Add(key, "%q cannot be connected to; it needs a specific IP address and a port other than 0", value)
	}
}

// elementKey returns the key of element i of the array with the key.
func elementKey(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }
