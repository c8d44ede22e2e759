package command

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/load"
)

type loadCommand struct {
	Addresses     []string      `arg:"--address,separate,required" placeholder:"HOST:PORT" help:"a daemon's address for callers; it names the other daemons"`
	Service       string        `arg:"--service" default:"forecast" help:"service to call"`
	Organisations []string      `arg:"--organisation,separate,required" placeholder:"ID=TOKEN" help:"an organisation and its credential"`
	Rate          float64       `arg:"--rate" default:"20" help:"arrivals per second"`
	Duration      time.Duration `arg:"--duration" default:"10s" help:"how long requests arrive"`
	Seed          uint64        `arg:"--seed" default:"1" help:"seed of the arrival times and of the requests' content"`
	Stream        float64       `arg:"--stream" default:"0.5" help:"share of streamed requests"`
	Keyed         float64       `arg:"--keyed" default:"0.2" help:"share of requests with an idempotency key"`
	NotRepeatable float64       `arg:"--not-repeatable" default:"0.05" help:"share of requests that must not run twice"`
	Retry         float64       `arg:"--retry" default:"0.3" help:"share of the requests with an idempotency key that are sent twice"`
	PromptTokens  int           `arg:"--prompt-tokens" default:"64" help:"number of tokens of a prompt"`
	MaxTokens     int           `arg:"--max-tokens" default:"32" help:"maximum number of tokens of an answer"`
	Deadline      time.Duration `arg:"--deadline" default:"30s" help:"deadline of each request"`
	Plain         string        `arg:"--plain" placeholder:"PATH" help:"call this path of a plain service instead of a model service"`
	CheckText     bool          `arg:"--check-text" help:"compare the answers with those that the stand-ins give"`
	Engines       []string      `arg:"--engine,separate" placeholder:"URL" help:"stand-in engine whose record of runs is compared with the answers"`
}

func (l *loadCommand) run(ctx context.Context, e *environment) error {
	cfg, err := l.loadConfig()
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if e.format == "json" {
		err = report.WriteJSON(e.stdout)
	} else {
		err = report.WriteText(e.stdout)
	}
	switch {
	case err != nil:
		return err
	case len(report.Violations()) > 0:
		return errReported
	case report.Offered > 0 && report.Accepted+report.Failed+report.Unknown == 0 && onlyUnreachable(report):
		return errNoDaemon
	default:
		return nil
	}
}

// errNoDaemon is returned if no request of a load run reached a daemon. The
// process exits with ExitUnavailable.
var errNoDaemon = errors.New("no daemon answers; is --address a daemon's address for callers (listen.callers)?")

// onlyUnreachable reports whether every refusal comes from the load generator itself,
// which found no daemon that it could reach.
func onlyUnreachable(r load.Report) bool {
	for _, c := range r.Codes {
		if c.Code != load.CodeUnreachable {
			return false
		}
	}
	return true
}

// loadConfig converts the flags to the configuration of a load run.
func (l *loadCommand) loadConfig() (load.Config, error) {
	cfg := load.Config{
		Addresses: l.Addresses, Service: entity.ServiceName(l.Service), ArrivalsPerSecond: l.Rate, Duration: l.Duration,
		Seed: l.Seed, StreamShare: l.Stream, KeyedShare: l.Keyed, NotRepeatableShare: l.NotRepeatable,
		ResendShare: l.Retry, PromptTokens: l.PromptTokens, MaxTokens: l.MaxTokens, Deadline: l.Deadline,
		DeadlineGracePeriod: l.Deadline, PlainPath: l.Plain, CheckText: l.CheckText, EngineURLs: l.Engines,
	}
	for _, o := range l.Organisations {
		id, token, ok := strings.Cut(o, "=")
		if !ok {
			return cfg, newUsageError("--organisation %s: write ID=TOKEN", o)
		}
		cfg.Callers = append(cfg.Callers, load.Caller{Organisation: entity.OrganisationID(id), Credential: token, Share: 1})
	}
	return cfg, nil
}
