package processtest

import (
	"context"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/ec2cloud"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

// startHost starts an instance in the cloud stand-in that represents the host of
// a backend server, and returns the ID of the instance.
func (c *cluster) startHost(b standin.BackendEndpoint) string {
	c.t.Helper()
	cloud := ec2cloud.New(ec2cloud.Config{
		Endpoint: c.addresses.Cloud, Region: "local", AccessKey: "test", SecretKey: "test", Timeout: 5 * time.Second,
	})
	i, err := cloud.Start(context.Background(), provider.LaunchRequest{
		Token: "host-of-" + b.ID, DataCentre: "dc-a", Class: "small", Market: provider.Reclaimable,
		Tags: map[string]string{core.TagBackendServer: b.ID},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.await(startTimeout, "the instance of the host to be running", func() bool {
		list, err := cloud.Instances(context.Background(), nil)
		return err == nil && len(list) > 0 && list[len(list)-1].State == provider.Running
	})
	return string(i.ID)
}
