package command

import (
	"context"
	"io"
	"os"

	"github.com/gooseberryslip/gooseberryslip/internal/buildinfo"
	"github.com/gooseberryslip/gooseberryslip/internal/logging"
	"github.com/gooseberryslip/gooseberryslip/internal/node"
	"github.com/gooseberryslip/gooseberryslip/internal/settings"
)

type daemonCommand struct {
	Settings string   `arg:"positional,required" placeholder:"FILE" help:"settings file in TOML"`
	Set      []string `arg:"--set,separate" placeholder:"KEY=VALUE" help:"override a setting, such as listen.callers=10.0.0.5:7001"`
}

// daemonReport is the JSON output at the start of a daemon: the id of its instance
// and the addresses on which it listens.
type daemonReport struct {
	Instance string `json:"instance"`
	Callers  string `json:"callers"`
	Peers    string `json:"peers"`
	Admin    string `json:"admin"`
}

func (*daemonCommand) servesCallers() {}

func (d *daemonCommand) run(ctx context.Context, e *environment) error {
	s, err := loadSettings(d.Settings, d.Set)
	if err != nil {
		return err
	}
	log, err := logging.New(os.Stderr, logging.Options{
		Level: s.Log.Level, Format: s.Log.Format, Process: s.Instance.ID, DataCentre: s.Instance.DataCentre,
	})
	if err != nil {
		return err
	}
	go watchSignals(ctx, e.signals, log, func() error {
		_, err := loadSettings(d.Settings, d.Set)
		return err
	})
	n, err := node.FromSettings(s, log, buildinfo.Version)
	if err != nil {
		return err
	}
	report := daemonReport{
		Instance: string(s.Instance.ID), Callers: n.CallerAddress(), Peers: n.PeerAddress(), Admin: n.AdminAddress(),
	}
	e.printResult(report, func(w io.Writer) {
		_, _ = io.WriteString(w, "callers "+report.Callers+", peers "+report.Peers+", admin "+report.Admin+"\n")
	})
	return n.Run(ctx)
}

// loadSettings reads a settings file, applies the overrides given by --set, and
// checks the result.
func loadSettings(file string, set []string) (*settings.Settings, error) {
	overrides, err := parseOverrides(set)
	if err != nil {
		return nil, err
	}
	s, err := settings.Load(file, overrides...)
	if err != nil {
		return nil, err
	}
	return s, s.Check()
}
