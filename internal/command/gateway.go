package command

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/gateway"
	"github.com/gooseberryslip/gooseberryslip/internal/logging"
	"github.com/gooseberryslip/gooseberryslip/platform"
)

// gatewayCommand runs a gateway, which forwards exchanges on the users' platform.
type gatewayCommand struct {
	Settings   string `arg:"positional" placeholder:"FILE" help:"settings file in the platform's format; default: the file named by GOOSEBERRYSLIP_CONFIG"`
	ServerPace bool   `arg:"--server-pace" help:"learn the speed of each backend server, and let those that start or recover take requests as fast as they can"`
	Level      string `arg:"--log-level" default:"info" placeholder:"LEVEL" help:"lowest level that is logged: debug, info, warn or error"`
	Shedding   bool   `arg:"--load-shedding" help:"while a service is short of room, refuse the requests that need it least"`
}

const (
	// memoryLimitRatio is Go's soft memory limit, as a ratio of the memory that the
	// process may use. Near this limit, the garbage collector runs more often.
	memoryLimitRatio = 0.6
	// logFlushTimeout bounds the time in which the last lines of the log are written when
	// the process ends.
	logFlushTimeout = 200 * time.Millisecond
)

func (*gatewayCommand) servesCallers() {}

func (c *gatewayCommand) run(ctx context.Context, e *environment) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	s.Gateway.ServerPace = c.ServerPace
	s.Gateway.LoadShedding = c.Shedding
	go limitHeapGrowth(ctx)
	if s.Gateway.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.Gateway.MemoryBytes)))
	}
	out := logging.NewAsync(os.Stdout)
	defer out.Flush(logFlushTimeout)
	log, err := logging.New(out, logging.Options{
		Level: c.Level, Format: "json", Process: s.Gateway.Name, DataCentre: s.Gateway.DataCentre,
	})
	if err != nil {
		return err
	}
	go watchSignals(ctx, e.signals, log, func() error {
		_, err := platform.LoadSettings(path)
		return err
	})
	store := platform.NewStore(s.StoreAddress)
	return gateway.New(gateway.Config{
		Settings: s.Gateway, Dialect: platform.Headers{}, Table: store, TableClock: store.Clock,
		OperatorEntries: platform.OperatorEntries{Store: store}, Rollouts: platform.Rollouts{Store: store}, Servers: platform.Servers{Store: store},
		LeaderTasks: platform.NewLeaderTasks(s.LeaderTasksAddress), Log: log,
	}).Run(ctx)
}
