package command

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/gooseberryslip/gooseberryslip/internal/gateway"
	"github.com/gooseberryslip/gooseberryslip/internal/logging"
	"github.com/gooseberryslip/gooseberryslip/platform"
)

// gatewayRole runs forwarded exchanges on the users' platform.
type gatewayRole struct {
	Settings string `arg:"positional" placeholder:"FILE" help:"settings of the platform; default: the file named by GOOSEBERRYSLIP_CONFIG"`
	Level    string `arg:"--log-level" default:"info" placeholder:"LEVEL" help:"debug, info, warn or error"`
}

const (
	// heapPart is the part of the process's memory at which the garbage
	// collector works harder.
	heapPart = 0.6
	// heapGrowth lets the heap grow to this many per cent of what is live.
	heapGrowth = 400
)

func (c *gatewayRole) run(ctx context.Context, _ *environment) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(heapGrowth)
	if s.Gateway.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapPart * float64(s.Gateway.MemoryBytes)))
	}
	out := logging.NewAsync(os.Stdout)
	log, err := logging.New(out, logging.Options{
		Level: c.Level, Format: "json", Process: s.Gateway.Name, DataCentre: s.Gateway.DataCentre,
	})
	if err != nil {
		return err
	}
	go watchReload(ctx, path, log)
	store := platform.NewStore(s.StoreAddress)
	return gateway.New(gateway.Config{
		Settings: s.Gateway, Dialect: platform.Headers{}, Table: store, Clock: store.Clock,
		Configuration: platform.Configuration{Store: store}, Servers: platform.Servers{Store: store},
		Duties: platform.NewDuties(s.DutiesAddress), Log: log,
	}).Run(ctx)
}

// watchReload checks the settings again when the platform says that they have
// changed. What the process has bound stays bound until its next start.
func watchReload(ctx context.Context, path string, log *logging.Log) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			if _, err := platform.LoadSettings(path); err != nil {
				log.Logger().WithError(err).Error("changed settings cannot be used; the former stay in force")
				continue
			}
			log.Logger().Info("settings read again; addresses take effect at the next start")
		}
	}
}
