// Package command implements the command line of the gooseberryslip binary. Each
// subcommand has a file of its own.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
)

// Exit codes. They are the same for every subcommand.
const (
	ExitOK          = 0
	ExitFailed      = 1 // the subcommand could not do its work, or a check found a problem
	ExitUsage       = 2 // wrong arguments
	ExitConflict    = 3 // the document has been changed since the revision that was edited
	ExitUnavailable = 4 // a daemon or the platform does not answer; try again
)

const programName = "gooseberryslip"

// arguments has a field for each subcommand, and the flag that all of them share.
type arguments struct {
	CheckSettings *checkSettingsCommand `arg:"subcommand:check-settings" help:"check a daemon's settings file"`
	Validate      *validateCommand      `arg:"subcommand:validate" help:"check service documents"`
	Diff          *diffCommand          `arg:"subcommand:diff" help:"compare a service document with the one in force"`
	Apply         *applyCommand         `arg:"subcommand:apply" help:"put a service document in force, or delete a service"`
	Get           *getCommand           `arg:"subcommand:get" help:"print a service document, or list the services"`
	History       *historyCommand       `arg:"subcommand:history" help:"list past documents of a service, or print one"`
	Status        *statusCommand        `arg:"subcommand:status" help:"show the daemons, their configuration and the services"`
	Plan          *planCommand          `arg:"subcommand:plan" help:"show what the fleet planner does for a service, and why"`
	Drain         *drainCommand         `arg:"subcommand:drain" help:"stop a daemon gracefully"`
	Timeline      *timelineCommand      `arg:"subcommand:timeline" help:"merge the events of all daemons into one timeline"`
	Daemon        *daemonCommand        `arg:"subcommand:daemon" help:"run a daemon"`
	Gateway       *gatewayCommand       `arg:"subcommand:gateway" help:"run a gateway, which forwards exchanges on the users' platform"`
	Experiment    *experimentCommand    `arg:"subcommand:experiment" help:"compare placement policies under a simulated load in virtual time"`
	GatewayStatus *gatewayStatusCommand `arg:"subcommand:gateway-status" help:"show a gateway's view of its configuration, backend servers and peers"`
	Explain       *explainCommand       `arg:"subcommand:explain" help:"print what log files say about one request, in order of time"`
	Quickstart    *quickstartCommand    `arg:"subcommand:quickstart" help:"run a small system on the loopback interface, with stand-ins for the platform and the backend servers"`
	StandIn       *standInCommand       `arg:"subcommand:standin" help:"run stand-ins of the platform and of backend servers"`
	Load          *loadCommand          `arg:"subcommand:load" help:"send load, check every answer, report percentiles"`
	Version       *versionCommand       `arg:"subcommand:version" help:"print the version"`

	Output string `arg:"--output" default:"text" placeholder:"FORMAT" help:"format of the output: text or json"`
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

// subcommand is implemented by every subcommand type that arguments refers to.
type subcommand interface {
	run(ctx context.Context, e *environment) error
}

// environment holds the outputs of a subcommand and the format of its result.
type environment struct {
	stdout io.Writer
	stderr io.Writer // progress and errors
	format string    // text or json
	// signals receives the signals of the process, whose context SIGINT and SIGTERM have
	// already cancelled; nil: the caller handles them.
	signals <-chan os.Signal
}

// usageError reports wrong arguments. The process exits with ExitUsage.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

func newUsageError(format string, args ...any) error { return usageError{fmt.Sprintf(format, args...)} }

// errReported is returned by a subcommand that has already printed what is wrong.
// The process exits with ExitFailed and prints nothing more.
var errReported = errors.New("reported")

// Main runs the command line and returns the exit code. SIGINT and SIGTERM
// cancel the subcommand's context.
func Main(args []string) int {
	ctx, stop := context.WithCancel(context.Background())
	return runWithSignals(ctx, args, os.Stdout, os.Stderr, handleSignals(stop))
}

// Run runs the command line with the given context and outputs and returns the
// exit code. It handles no signals.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return runWithSignals(ctx, args, stdout, stderr, &processSignals{})
}

func runWithSignals(ctx context.Context, args []string, stdout, stderr io.Writer, signals *processSignals) int {
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
	signals.dispatch(sub)
	e := &environment{stdout: stdout, stderr: stderr, format: a.Output, signals: signals.forwarded}
	if a.Output != "text" && a.Output != "json" {
		return e.reportError(newUsageError("--output must be text or json"))
	}
	return e.reportError(sub.run(ctx, e))
}

// reportError prints an error, unless it is nil or errReported, and returns its
// exit code.
func (e *environment) reportError(err error) int {
	code := exitCode(err)
	if err == nil || errors.Is(err, errReported) {
		return code
	}
	if e.format == "json" {
		e.printJSON(errorReport{Error: failureOf(err)})
		return code
	}
	fmt.Fprintf(e.stderr, "%s: %v\n", programName, err)
	if hint := hintFor(err); hint != "" {
		fmt.Fprintln(e.stderr, hint)
	}
	return code
}

// errorReport is the JSON output of a failed subcommand.
type errorReport struct {
	Error adminapi.Failure `json:"error"`
}

func failureOf(err error) adminapi.Failure {
	var failure *adminapi.Failure
	if errors.As(err, &failure) {
		return *failure
	}
	code := adminapi.Code("failed")
	if errors.Is(err, adminapi.ErrUnreachable) {
		code = adminapi.CodeUnavailable
	}
	return adminapi.Failure{Code: code, Message: err.Error()}
}

func exitCode(err error) int {
	var wrongUsage usageError
	var failure *adminapi.Failure
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &wrongUsage):
		return ExitUsage
	case errors.Is(err, adminapi.ErrUnreachable), errors.Is(err, errNoDaemon), errors.Is(err, errNoGateway):
		return ExitUnavailable
	case errors.As(err, &failure) && failure.Code == adminapi.CodeConflict:
		return ExitConflict
	case errors.As(err, &failure) && failure.Code == adminapi.CodeUnavailable:
		return ExitUnavailable
	default:
		return ExitFailed
	}
}

// hintFor returns what an operator can do about an error, or "".
func hintFor(err error) string {
	var failure *adminapi.Failure
	switch {
	case errors.Is(err, adminapi.ErrUnreachable):
		return "Is the daemon running, and is --admin its administration address (listen.admin)?"
	case !errors.As(err, &failure):
		return ""
	case failure.Code == adminapi.CodeUnauthorised:
		return "Give --token-file a file with a token whose SHA-256 is in the operators' credentials file."
	case failure.Code == adminapi.CodeUnavailable && failure.MayHaveTakenEffect:
		return "The change may have taken effect. Repeat it with the same --operation; it takes effect only once."
	case failure.Code == adminapi.CodeUnavailable:
		return "Nothing was written. Try again later."
	default:
		return ""
	}
}

// printJSON writes a value to standard output as indented JSON.
func (e *environment) printJSON(v any) {
	encoder := json.NewEncoder(e.stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}

// printResult writes a value to standard output: as JSON with --output json, else
// by calling writeText.
func (e *environment) printResult(v any, writeText func(w io.Writer)) {
	if e.format == "json" {
		e.printJSON(v)
		return
	}
	writeText(e.stdout)
}
