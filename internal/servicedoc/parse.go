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

// checker adds problems to a document while its values are looked at.
type checker struct {
	*tomldoc.Document
}

// Parse reads one service document. The name of the file serves for messages
// only. The error is tomldoc.Problems with every fault of the document.
func Parse(name string, data []byte) (*entity.Service, error) {
	if len(data) > MaxBytes {
		c := checker{tomldoc.Empty(name)}
		c.Add("", "has %d bytes; at most %d are allowed", len(data), MaxBytes)
		return nil, c.Err()
	}
	doc := withDefaults()
	c := checker{tomldoc.Read(name, data, doc)}
	if c.Readable() {
		c.service(doc)
	}
	if err := c.Err(); err != nil {
		return nil, err
	}
	return doc.service(), nil
}

func (c checker) service(doc *document) {
	c.name("name", string(doc.Name))
	if doc.Mode != entity.ModeRoute && doc.Mode != entity.ModeManage {
		c.Add("mode", "%q is not one of route, manage", doc.Mode)
	}
	if doc.Kind != entity.KindModel && doc.Kind != entity.KindPlain {
		c.Add("kind", "%q is not one of model, plain", doc.Kind)
	}
	c.latency(doc.Latency)
	c.retry(doc.Retry)
	c.organisations(doc.Organisations)
	c.backendServers(doc)
	c.calls(doc)
	if doc.Mode == entity.ModeManage || c.Has("fleet") {
		c.fleet(doc)
	}
}

func (c checker) latency(l latency) {
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

func (c checker) retry(r retry) {
	if r.MaxAttempts < 1 || r.MaxAttempts > maxAttempts {
		c.Add("retry.max_attempts", "must be from 1 to %d", maxAttempts)
	}
	if !(r.BudgetRatio >= 0 && r.BudgetRatio <= 1) {
		c.Add("retry.budget_ratio", "must be from 0 to 1")
	}
}

func (c checker) organisations(list []organisation) {
	if len(list) == 0 || len(list) > maxOrganisations {
		c.Add("organisations", "needs from 1 to %d entries", maxOrganisations)
	}
	ids, tokens := map[string]int{}, map[string]int{}
	for i, o := range list {
		at := at("organisations", i)
		c.name(at+".id", string(o.ID))
		c.unique(at+".id", string(o.ID), ids)
		if !sha256Pattern.MatchString(o.CredentialSHA256) {
			c.Add(at+".credential_sha256", "must be 64 lower-case hex digits")
		}
		c.unique(at+".credential_sha256", o.CredentialSHA256, tokens)
		if o.Weight < 1 || o.Weight > maxWeight {
			c.Add(at+".weight", "must be from 1 to %d", maxWeight)
		}
		if !(o.RequestsPerSecond > 0 && o.RequestsPerSecond <= 1e9) {
			c.Add(at+".requests_per_second", "must be above 0")
		}
		if o.RequestBurst < 1 {
			c.Add(at+".request_burst", "must be at least 1")
		}
		if !(o.TokensPerSecond >= 0 && o.TokensPerSecond <= 1e12) {
			c.Add(at+".tokens_per_second", "must be 0 (no limit) or above")
		}
		if o.TopPriority >= entity.PriorityCount {
			c.Add(at+".top_priority", "must be from 0 to %d", entity.PriorityCount-1)
		}
	}
}

func (c checker) backendServers(doc *document) {
	if doc.Mode == entity.ModeRoute && len(doc.BackendServers) == 0 {
		c.Add("backend_servers", "route mode needs at least one")
	}
	if len(doc.BackendServers) > maxBackendServers {
		c.Add("backend_servers", "at most %d are allowed", maxBackendServers)
	}
	ids, addresses := map[string]int{}, map[string]int{}
	for i, b := range doc.BackendServers {
		at := at("backend_servers", i)
		c.name(at+".id", string(b.ID))
		c.unique(at+".id", string(b.ID), ids)
		c.address(at+".address", b.Address)
		c.unique(at+".address", b.Address, addresses)
		if b.Region != "" {
			c.name(at+".region", string(b.Region))
		}
		c.name(at+".data_centre", string(b.DataCentre))
		if b.Slots < 1 || b.Slots > maxSlots {
			c.Add(at+".slots", "must be from 1 to %d", maxSlots)
		}
	}
}

func (c checker) calls(doc *document) {
	if doc.Kind == entity.KindModel && len(doc.Calls) > 0 {
		c.Add("calls", "belongs to kind plain; a model request says itself whether it is repeatable")
	}
	seen := map[string]int{}
	for i, call := range doc.Calls {
		at := at("calls", i)
		if !methodPattern.MatchString(call.Method) {
			c.Add(at+".method", `%q is not an HTTP method in capitals or "*"`, call.Method)
		}
		if !strings.HasPrefix(call.PathPrefix, "/") {
			c.Add(at+".path_prefix", `%q does not start with "/"`, call.PathPrefix)
		}
		if !c.Has(at + ".repeatable") {
			c.Add(at+".repeatable", "is required")
		}
		c.unique(at+".path_prefix", call.Method+" "+call.PathPrefix, seen)
	}
}

func (c checker) fleet(doc *document) {
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
	c.names("fleet.classes", f.Classes)
	dataCentres := make([]string, len(f.DataCentres))
	for i := range f.DataCentres {
		dataCentres[i] = string(f.DataCentres[i])
	}
	c.names("fleet.data_centres", dataCentres)
	if !(f.MaxHourlyCost >= 0 && f.MaxHourlyCost <= 1e9) {
		c.Add("fleet.max_hourly_cost", "must be 0 (no limit) or above")
	}
	if f.Port < 1 || f.Port > maxPort {
		c.Add("fleet.port", "must be from 1 to %d", maxPort)
	}
	if doc.Kind == entity.KindModel && f.Model == "" {
		c.Add("fleet.model", "is required for kind model")
	}
}

// names checks a list of at least one name, none twice.
func (c checker) names(key string, list []string) {
	if len(list) == 0 {
		c.Add(key, "needs at least one entry")
	}
	seen := map[string]int{}
	for i := range list {
		c.name(at(key, i), list[i])
		c.unique(at(key, i), list[i], seen)
	}
}

func (c checker) name(key, value string) {
	switch {
	case value == "":
		c.Add(key, "is required")
	case !namePattern.MatchString(value):
		c.Add(key, "%q is not a name: letters, digits, '.', '_' and '-', at most 63", value)
	}
}

// unique reports a value that an earlier entry has; seen maps values to lines.
func (c checker) unique(key, value string, seen map[string]int) {
	if line, taken := seen[value]; taken && value != "" {
		c.Add(key, "%q stands already in line %d", value, line)
		return
	}
	seen[value] = c.Line(key)
}

func (c checker) address(key, value string) {
	a, err := netip.ParseAddrPort(value)
	switch {
	case value == "":
		c.Add(key, "is required")
	case err != nil:
		c.Add(key, "%q is not an IP number and a port, such as 10.0.0.5:9001", value)
	case a.Port() == 0 || a.Addr().IsUnspecified():
		c.Add(key, "%q cannot be connected to", value)
	}
}

func at(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }
