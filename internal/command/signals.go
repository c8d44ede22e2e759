package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/logging"
)

// service is implemented by subcommands that serve callers until they are stopped. SIGHUP
// tells them that their settings file has changed; it stops all other subcommands.
type service interface {
	subcommand
	servesCallers()
}

// maxQueuedSignals is how many signals may wait to be handled.
const maxQueuedSignals = 16

// processSignals handles the signals that the process gets. It does so until the process
// ends, since the default action of each would end it at once, with the requests in flight.
type processSignals struct {
	received  chan os.Signal
	forwarded chan os.Signal // to the service, after they have taken effect here
	stop      context.CancelFunc
	// hangUpIgnored says that the process was started with SIGHUP ignored, as nohup does.
	hangUpIgnored bool
}

// handleSignals begins to handle signals. Those that come before dispatch is called wait.
func handleSignals(stop context.CancelFunc) *processSignals {
	p := &processSignals{
		received:  make(chan os.Signal, maxQueuedSignals),
		forwarded: make(chan os.Signal, maxQueuedSignals),
		stop:      stop,

		hangUpIgnored: signal.Ignored(syscall.SIGHUP),
	}
	signal.Notify(p.received, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	return p
}

// dispatch handles all signals from now on on behalf of a subcommand. A service also goes
// on without its output: SIGPIPE does not end it.
func (p *processSignals) dispatch(sub subcommand) {
	if p.received == nil {
		return // the signals are the caller's
	}
	_, serves := sub.(service)
	if serves {
		signal.Ignore(syscall.SIGPIPE)
	}
	go func() {
		for sig := range p.received {
			p.handle(sig, serves)
		}
	}()
}

func (p *processSignals) handle(sig os.Signal, serves bool) {
	if sig != syscall.SIGHUP || !serves && !p.hangUpIgnored {
		p.stop()
	}
	select {
	case p.forwarded <- sig:
	default: // the service has signals of the same kinds to handle already
	}
}

// watchSignals logs the signals that a service gets until the process ends. After SIGHUP it
// calls checkSettings and logs whether the settings file is valid. The process uses the
// settings that it started with, such as its addresses, until its next start.
func watchSignals(ctx context.Context, signals <-chan os.Signal, log *logging.Log, checkSettings func() error) {
	for sig := range signals {
		logEvent(log, event.SignalReceived, event.A("signal", sig.String()), event.A("stopping", ctx.Err() != nil))
		if sig != syscall.SIGHUP {
			continue
		}
		if err := checkSettings(); err != nil {
			logEvent(log, event.ChangedSettingsInvalid, event.A("error", err.Error()))
			continue
		}
		logEvent(log, event.ChangedSettingsValid)
	}
}

func logEvent(log *logging.Log, n event.Number, attrs ...event.Attr) {
	log.Event(time.Now(), event.Event{Number: n, Attrs: attrs})
}
