// Package command is the command line of the one binary. Each subcommand has a
// file of its own.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
)

// Exit codes. They are the same for every subcommand.
const (
	ExitOK          = 0
	ExitFailed      = 1 // the work could not be done, or a check found a fault
	ExitUsage       = 2 // wrong arguments
	ExitConflict    = 3 // somebody else has changed the document
	ExitUnavailable = 4 // a daemon or the platform does not answer; try again
)

const programName = "gooseberryslip"

// arguments holds all subcommands. A new one is added by its field.
type arguments struct {
	CheckSettings *checkSettings `arg:"subcommand:check-settings" help:"check a daemon's settings file"`
	Validate      *validate      `arg:"subcommand:validate" help:"check service documents"`
	Diff          *diff          `arg:"subcommand:diff" help:"compare a service document with the one in force"`
	Apply         *apply         `arg:"subcommand:apply" help:"put a service document in force, or delete a service"`
	Get           *get           `arg:"subcommand:get" help:"print a service document, or list the services"`
	History       *history       `arg:"subcommand:history" help:"list past documents of a service, or print one"`
	Status        *status        `arg:"subcommand:status" help:"show the daemons, their configuration and the services"`
	Plan          *plan          `arg:"subcommand:plan" help:"show what the fleet planner does for a service, and why"`
	Drain         *drain         `arg:"subcommand:drain" help:"stop a daemon gracefully"`
	Timeline      *timelineOf    `arg:"subcommand:timeline" help:"merge the events of all daemons into one time line"`
	Daemon        *daemon        `arg:"subcommand:daemon" help:"run a daemon"`
	Gateway       *gatewayRole   `arg:"subcommand:gateway" help:"forward exchanges on the users' platform"`
	Experiment    *experimentRun `arg:"subcommand:experiment" help:"compare decisions under a load in virtual time"`
	GatewayStatus *gatewayStatus `arg:"subcommand:gateway-status" help:"show what a gateway believes"`
	Explain       *explain       `arg:"subcommand:explain" help:"tell the story of one request from log files"`
	Quickstart    *quickStart    `arg:"subcommand:quickstart" help:"run a small system on loopback, stand-ins included"`
	StandIn       *standIn       `arg:"subcommand:standin" help:"run stand-ins of the platform and of backend servers"`
	Load          *loadDriver    `arg:"subcommand:load" help:"send load, check every answer, report percentiles"`
	Version       *version       `arg:"subcommand:version" help:"print the version"`

	Output string `arg:"--output" default:"text" placeholder:"FORMAT" help:"text or json"`
}

// Description returns the first lines of the help.
func (arguments) Description() string {
	return "gooseberryslip serves model-backed services on reclaimable instances.\n"
}

// Epilogue returns the last lines of the help.
func (arguments) Epilogue() string {
	return `Examples:
  gooseberryslip quickstart
  gooseberryslip daemon daemon.toml
  gooseberryslip gateway node.toml
  gooseberryslip check-settings daemon.toml --set listen.callers=10.0.0.5:7001
  gooseberryslip validate services/*.toml
  export GOOSEBERRYSLIP_ADMIN=10.0.0.5:7201 GOOSEBERRYSLIP_TOKEN_FILE=token
  gooseberryslip get forecast > forecast.toml
  gooseberryslip diff forecast.toml
  gooseberryslip apply forecast.toml
  gooseberryslip history forecast --revision 12 > forecast.toml
  gooseberryslip status --output json
  gooseberryslip plan forecast --explain
  gooseberryslip drain --wait
  gooseberryslip experiment examples/experiment/overload.toml --plot credit.svg
  gooseberryslip explain 9c41d07be2a35f68 edge-*.log
  gooseberryslip timeline --request 0b6f --html timeline.html

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict with another change,
4 a daemon or the platform does not answer.`
}

// subcommand is what a field of arguments implements.
type subcommand interface {
	run(ctx context.Context, e *environment) error
}

// environment is what subcommands use of the process.
type environment struct {
	out    io.Writer
	err    io.Writer // progress and errors
	output string    // text or json
}

// usageError is a fault of the arguments.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

func usage(format string, args ...any) error { return usageError{fmt.Sprintf(format, args...)} }

// errReported ends a subcommand that has already told what is wrong.
var errReported = errors.New("reported")

// Main runs the command line and returns the exit code. SIGINT and SIGTERM
// cancel the subcommand's context.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, args, os.Stdout, os.Stderr)
}

// Run is Main with a given context and outputs.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: programName, Out: stdout}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return ExitOK
	case err != nil:
		fmt.Fprintf(stderr, "%s: %v; see --help\n", programName, err)
		return ExitUsage
	}
	sub, ok := parser.Subcommand().(subcommand)
	if !ok {
		parser.WriteHelp(stderr)
		return ExitUsage
	}
	e := &environment{out: stdout, err: stderr, output: a.Output}
	if a.Output != "text" && a.Output != "json" {
		return e.report(usage("--output must be text or json"))
	}
	return e.report(sub.run(ctx, e))
}

// report tells an error and returns its exit code.
func (e *environment) report(err error) int {
	code := exitCode(err)
	if err == nil || errors.Is(err, errReported) {
		return code
	}
	if e.output == "json" {
		e.json(errorReport{Error: describe(err)})
		return code
	}
	fmt.Fprintf(e.err, "%s: %v\n", programName, err)
	if hint := hintFor(err); hint != "" {
		fmt.Fprintln(e.err, hint)
	}
	return code
}

type errorReport struct {
	Error adminapi.Failure `json:"error"`
}

func describe(err error) adminapi.Failure {
	var f *adminapi.Failure
	if errors.As(err, &f) {
		return *f
	}
	code := adminapi.Code("failed")
	if errors.Is(err, adminapi.ErrUnreachable) {
		code = adminapi.CodeUnavailable
	}
	return adminapi.Failure{Code: code, Message: err.Error()}
}

func exitCode(err error) int {
	var wrong usageError
	var f *adminapi.Failure
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &wrong):
		return ExitUsage
	case errors.Is(err, adminapi.ErrUnreachable), errors.Is(err, errNoDaemon), errors.Is(err, errNoGateway):
		return ExitUnavailable
	case errors.As(err, &f) && f.Code == adminapi.CodeConflict:
		return ExitConflict
	case errors.As(err, &f) && f.Code == adminapi.CodeUnavailable:
		return ExitUnavailable
	default:
		return ExitFailed
	}
}

// hintFor returns what an operator can do about an error, or "".
func hintFor(err error) string {
	var f *adminapi.Failure
	switch {
	case errors.Is(err, adminapi.ErrUnreachable):
		return "Is the daemon running, and is --admin its administration address (listen.admin)?"
	case !errors.As(err, &f):
		return ""
	case f.Code == adminapi.CodeUnauthorised:
		return "Give --token-file a file with a token whose SHA-256 is in the operators' credentials file."
	case f.Code == adminapi.CodeUnavailable && f.MayHaveTakenEffect:
		return "The change may have taken effect. Repeat it with the same --operation; it is made once."
	case f.Code == adminapi.CodeUnavailable:
		return "Nothing was written. Try again later."
	default:
		return ""
	}
}

// json prints a value as indented JSON.
func (e *environment) json(v any) {
	encoder := json.NewEncoder(e.out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}

// print prints a value as JSON, or calls text.
func (e *environment) print(v any, text func(w io.Writer)) {
	if e.output == "json" {
		e.json(v)
		return
	}
	text(e.out)
}
