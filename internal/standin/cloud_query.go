package standin

import (
	"encoding/xml"
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"
)

const (
	// maxClientTokenLength is EC2's limit, in characters.
	maxClientTokenLength = 64
	// defaultPageInstances is the number of instances in a DescribeInstances page when
	// the request sets no MaxResults.
	defaultPageInstances = 1000
	spotMarket           = "spot"
)

type xmlTag struct {
	Key   string `xml:"key"`
	Value string `xml:"value"`
}

type xmlState struct {
	Code int    `xml:"code"`
	Name string `xml:"name"`
}

type xmlInstance struct {
	InstanceID       string   `xml:"instanceId"`
	State            xmlState `xml:"instanceState"`
	InstanceType     string   `xml:"instanceType"`
	AvailabilityZone string   `xml:"placement>availabilityZone"`
	PrivateIPAddress string   `xml:"privateIpAddress,omitempty"`
	Lifecycle        string   `xml:"instanceLifecycle,omitempty"`
	Tags             []xmlTag `xml:"tagSet>item"`
}

type runInstancesResponse struct {
	XMLName   xml.Name      `xml:"RunInstancesResponse"`
	RequestID string        `xml:"requestId"`
	Instances []xmlInstance `xml:"instancesSet>item"`
}

type terminateInstancesResponse struct {
	XMLName   xml.Name `xml:"TerminateInstancesResponse"`
	RequestID string   `xml:"requestId"`
}

type xmlReservation struct {
	Instances []xmlInstance `xml:"instancesSet>item"`
}

type describeInstancesResponse struct {
	XMLName      xml.Name         `xml:"DescribeInstancesResponse"`
	Reservations []xmlReservation `xml:"reservationSet>item"`
	NextToken    string           `xml:"nextToken,omitempty"`
}

type xmlSpotPrice struct {
	InstanceType     string `xml:"instanceType"`
	Product          string `xml:"productDescription"`
	SpotPrice        string `xml:"spotPrice"`
	Timestamp        string `xml:"timestamp"`
	AvailabilityZone string `xml:"availabilityZone"`
}

type describeSpotPriceHistoryResponse struct {
	XMLName xml.Name       `xml:"DescribeSpotPriceHistoryResponse"`
	Prices  []xmlSpotPrice `xml:"spotPriceHistorySet>item"`
}

type cloudError struct {
	XMLName xml.Name `xml:"Response"`
	Code    string   `xml:"Errors>Error>Code"`
	Message string   `xml:"Errors>Error>Message"`
	status  int
}

func (c *Cloud) serveQuery(w http.ResponseWriter, r *http.Request) {
	if err := r.ParseForm(); err != nil {
		writeXML(w, http.StatusBadRequest, cloudError{Code: "InvalidRequest"})
		return
	}
	refuseLaunch := c.Faults.applyBefore(r)
	out, failure := c.runAction(r.PostForm, refuseLaunch)
	c.Faults.applyAfter()
	if failure != nil {
		writeXML(w, failure.status, failure)
		return
	}
	writeXML(w, http.StatusOK, out)
}

// runAction executes the call's Action. refuseLaunch affects RunInstances only.
func (c *Cloud) runAction(form url.Values, refuseLaunch bool) (any, *cloudError) {
	switch form.Get("Action") {
	case "RunInstances":
		return c.runInstances(form, refuseLaunch)
	case "TerminateInstances":
		return c.terminateInstances(form)
	case "DescribeInstances":
		return c.describeInstances(form)
	case "DescribeSpotPriceHistory":
		return c.describeSpotPrices()
	default:
		return nil, badRequest("InvalidAction", form.Get("Action"))
	}
}

// runInstances launches one instance, or returns the existing one when the client
// token was used before. With refuseLaunch a new launch fails for lack of capacity.
func (c *Cloud) runInstances(form url.Values, refuseLaunch bool) (any, *cloudError) {
	token := form.Get("ClientToken")
	if len(token) > maxClientTokenLength {
		return nil, badRequest("InvalidParameterValue", "ClientToken")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.RunCalls++
	parameters := launchParametersOf(form)
	if existing := c.byClientToken[token]; existing != nil {
		if existing.launchParameters != parameters {
			return nil, badRequest("IdempotentParameterMismatch", token)
		}
		return runInstancesResponse{Instances: []xmlInstance{existing.toXML()}}, nil
	}
	zone := form.Get("Placement.AvailabilityZone")
	if refuseLaunch || c.noCapacity[zone] {
		return nil, &cloudError{Code: "InsufficientInstanceCapacity", Message: zone, status: http.StatusInternalServerError}
	}
	instance := &cloudInstance{clientToken: token, launchParameters: parameters, CloudInstance: CloudInstance{
		ID: newInstanceID(len(c.instances)), DataCentre: zone, Class: form.Get("InstanceType"),
		Spot: form.Get("InstanceMarketOptions.MarketType") == spotMarket, State: statePending, Tags: instanceTags(form),
	}}
	c.addInstance(instance)
	c.counts.StartedInstances++
	time.AfterFunc(c.cfg.StartDelay, func() { c.finishLaunch(instance.ID) })
	return runInstancesResponse{Instances: []xmlInstance{instance.toXML()}}, nil
}

// launchParametersOf returns a canonical form of the parameters in which two
// RunInstances calls with the same client token must agree.
func launchParametersOf(form url.Values) string {
	return strings.Join([]string{
		form.Get("Placement.AvailabilityZone"), form.Get("InstanceType"),
		form.Get("InstanceMarketOptions.MarketType"), form.Get("ImageId"),
	}, "\x00")
}

// instanceTags reads the tags that RunInstances sets on the new instance.
func instanceTags(form url.Values) map[string]string {
	tags := make(map[string]string)
	for n := 1; ; n++ {
		prefix := fmt.Sprintf("TagSpecification.1.Tag.%d.", n)
		if !form.Has(prefix + "Key") {
			return tags
		}
		tags[form.Get(prefix+"Key")] = form.Get(prefix + "Value")
	}
}

func (c *Cloud) terminateInstances(form url.Values) (any, *cloudError) {
	c.mu.Lock()
	c.counts.TerminateCalls++
	c.mu.Unlock()
	for n := 1; form.Has("InstanceId." + strconv.Itoa(n)); n++ {
		id := form.Get("InstanceId." + strconv.Itoa(n))
		if !c.terminate(id) {
			return nil, badRequest("InvalidInstanceID.NotFound", id)
		}
	}
	return terminateInstancesResponse{}, nil
}

func (c *Cloud) describeInstances(form url.Values) (any, *cloudError) {
	pageSize, err := strconv.Atoi(form.Get("MaxResults"))
	if err != nil {
		pageSize = defaultPageInstances
	}
	offset, _ := strconv.Atoi(form.Get("NextToken"))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.DescribeCalls++
	out := describeInstancesResponse{}
	matching := c.instancesAt(time.Now().Add(-c.cfg.ListLag), tagFilters(form))
	for n := offset; n < len(matching) && n < offset+pageSize; n++ {
		out.Reservations = append(out.Reservations, xmlReservation{Instances: []xmlInstance{matching[n]}})
	}
	if offset+pageSize < len(matching) {
		out.NextToken = strconv.Itoa(offset + pageSize)
	}
	return out, nil
}

// instancesAt returns the state at a point in time of the instances that had the
// given tags then, oldest first. The caller holds c.mu.
func (c *Cloud) instancesAt(at time.Time, tags []xmlTag) []xmlInstance {
	var out []xmlInstance
	for _, i := range c.instancesByAge() {
		if snapshot, ok := i.snapshotAt(at); ok && hasTags(snapshot, tags) {
			out = append(out, xmlInstanceOf(snapshot))
		}
	}
	return out
}

func hasTags(i CloudInstance, tags []xmlTag) bool {
	for _, t := range tags {
		if value, ok := i.Tags[t.Key]; !ok || value != t.Value {
			return false
		}
	}
	return true
}

// tagFilters reads the DescribeInstances filters, which must have the form tag:KEY
// with one value each.
func tagFilters(form url.Values) []xmlTag {
	var out []xmlTag
	for n := 1; ; n++ {
		prefix := fmt.Sprintf("Filter.%d.", n)
		if !form.Has(prefix + "Name") {
			return out
		}
		key := strings.TrimPrefix(form.Get(prefix+"Name"), "tag:")
		out = append(out, xmlTag{Key: key, Value: form.Get(prefix + "Value.1")})
	}
}

func (c *Cloud) describeSpotPrices() (any, *cloudError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.PriceCalls++
	out := describeSpotPriceHistoryResponse{}
	for _, p := range c.prices {
		out.Prices = append(out.Prices, xmlSpotPrice{
			InstanceType: p.Class, Product: "Linux/UNIX", AvailabilityZone: p.DataCentre,
			SpotPrice: strconv.FormatFloat(p.PerHour, 'f', 6, 64),
			Timestamp: time.Now().UTC().Format(time.RFC3339),
		})
	}
	return out, nil
}

func (i *cloudInstance) toXML() xmlInstance { return xmlInstanceOf(i.CloudInstance) }

func xmlInstanceOf(i CloudInstance) xmlInstance {
	out := xmlInstance{
		InstanceID: i.ID, State: xmlState{Code: stateCodes[i.State], Name: i.State},
		InstanceType: i.Class, AvailabilityZone: i.DataCentre, PrivateIPAddress: "127.0.0.1",
	}
	if i.Spot {
		out.Lifecycle = spotMarket
	}
	for k, v := range i.Tags {
		out.Tags = append(out.Tags, xmlTag{Key: k, Value: v})
	}
	sort.Slice(out.Tags, func(a, b int) bool { return out.Tags[a].Key < out.Tags[b].Key })
	return out
}

// stateCodes maps instance states to EC2's numeric codes.
var stateCodes = map[string]int{statePending: 0, stateRunning: 16, stateShuttingDown: 32, stateTerminated: 48}

func badRequest(code, message string) *cloudError {
	return &cloudError{Code: code, Message: message, status: http.StatusBadRequest}
}

func writeXML(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "text/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(v)
}
