package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/gooseberryslip/gooseberryslip/internal/settings"
	"github.com/gooseberryslip/gooseberryslip/internal/tomldoc"
	"github.com/gooseberryslip/gooseberryslip/platform"
)

type checkSettingsCommand struct {
	File string   `arg:"positional,required" help:"settings file"`
	Set  []string `arg:"--set,separate" placeholder:"KEY=VALUE" help:"override a setting, such as listen.callers=10.0.0.5:7001"`

	Platform bool `arg:"--platform" help:"the file holds a gateway's settings, in the format of the users' platform"`
}

// checkReport is the JSON output of a check.
type checkReport struct {
	OK       bool             `json:"ok"`
	Problems tomldoc.Problems `json:"problems"`
}

func (c *checkSettingsCommand) run(_ context.Context, e *environment) error {
	if c.Platform {
		return c.checkPlatformSettings(e)
	}
	overrides, err := parseOverrides(c.Set)
	if err != nil {
		return err
	}
	s, err := settings.Load(c.File, overrides...)
	if err == nil {
		err = s.Check()
	}
	return e.reportCheck(c.File, err)
}

// checkPlatformSettings checks a gateway's settings file.
func (c *checkSettingsCommand) checkPlatformSettings(e *environment) error {
	if len(c.Set) > 0 {
		return newUsageError("--set cannot be used together with --platform")
	}
	if _, err := platform.LoadSettings(c.File); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	return e.reportCheck(c.File, nil)
}

// parseOverrides parses the values of --set.
func parseOverrides(set []string) ([]settings.Override, error) {
	var out []settings.Override
	for _, text := range set {
		o, ok := settings.ParseOverride(text)
		if !ok {
			return nil, newUsageError("--set %s: write KEY=VALUE", text)
		}
		out = append(out, o)
	}
	return out, nil
}

// reportCheck prints the problems that err holds, or that the checked files have
// none; name lists these files. Any other error is returned.
func (e *environment) reportCheck(name string, err error) error {
	var problems tomldoc.Problems
	if err != nil && !errors.As(err, &problems) {
		return err
	}
	report := checkReport{OK: len(problems) == 0, Problems: problems}
	if problems == nil {
		report.Problems = tomldoc.Problems{}
	}
	e.printResult(report, func(w io.Writer) {
		if report.OK {
			fmt.Fprintf(w, "%s: ok\n", name)
		}
		for _, p := range problems {
			fmt.Fprintln(e.stderr, p)
		}
	})
	if !report.OK {
		return errReported
	}
	return nil
}
