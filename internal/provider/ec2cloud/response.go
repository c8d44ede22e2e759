package ec2cloud

import (
	"encoding/xml"
	"strconv"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

type tagItem struct {
	Key   string `xml:"key"`
	Value string `xml:"value"`
}

type instanceItem struct {
	InstanceID       string    `xml:"instanceId"`
	State            string    `xml:"instanceState>name"`
	InstanceType     string    `xml:"instanceType"`
	AvailabilityZone string    `xml:"placement>availabilityZone"`
	PrivateIPAddress string    `xml:"privateIpAddress"`
	Lifecycle        string    `xml:"instanceLifecycle"`
	Tags             []tagItem `xml:"tagSet>item"`
}

type runInstancesResponse struct {
	XMLName   xml.Name       `xml:"RunInstancesResponse"`
	Instances []instanceItem `xml:"instancesSet>item"`
}

type terminateInstancesResponse struct {
	XMLName xml.Name `xml:"TerminateInstancesResponse"`
}

type reservationItem struct {
	Instances []instanceItem `xml:"instancesSet>item"`
}

type describeInstancesResponse struct {
	XMLName      xml.Name          `xml:"DescribeInstancesResponse"`
	Reservations []reservationItem `xml:"reservationSet>item"`
	NextToken    string            `xml:"nextToken"`
}

type spotPriceItem struct {
	InstanceType     string `xml:"instanceType"`
	SpotPrice        string `xml:"spotPrice"`
	AvailabilityZone string `xml:"availabilityZone"`
}

type describeSpotPriceHistoryResponse struct {
	XMLName   xml.Name        `xml:"DescribeSpotPriceHistoryResponse"`
	Prices    []spotPriceItem `xml:"spotPriceHistorySet>item"`
	NextToken string          `xml:"nextToken"`
}

type errorResponse struct {
	XMLName xml.Name `xml:"Response"`
	Code    string   `xml:"Errors>Error>Code"`
	Message string   `xml:"Errors>Error>Message"`
}

func (i instanceItem) toInstance() provider.Instance {
	out := provider.Instance{
		ID:         entity.InstanceID(i.InstanceID),
		DataCentre: entity.DataCentreID(i.AvailabilityZone),
		Class:      i.InstanceType,
		Market:     provider.OnDemand,
		State:      instanceState(i.State),
		Address:    i.PrivateIPAddress,
		Tags:       make(map[string]string, len(i.Tags)),
	}
	if i.Lifecycle == spotMarketType {
		out.Market = provider.Reclaimable
	}
	for _, t := range i.Tags {
		out.Tags[t.Key] = t.Value
	}
	return out
}

func instanceState(name string) provider.InstanceState {
	switch name {
	case "pending":
		return provider.Pending
	case "running":
		return provider.Running
	case "shutting-down", "stopping":
		return provider.Leaving
	default:
		return provider.Stopped
	}
}

func (p spotPriceItem) toPrice() (provider.Price, error) {
	perHour, err := strconv.ParseFloat(p.SpotPrice, 64)
	if err != nil {
		return provider.Price{}, err
	}
	return provider.Price{
		DataCentre: entity.DataCentreID(p.AvailabilityZone),
		Class:      p.InstanceType,
		Market:     provider.Reclaimable,
		PerHour:    perHour,
	}, nil
}
