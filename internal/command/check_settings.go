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

type checkSettings struct {
	File string   `arg:"positional,required" help:"settings file"`
	Set  []string `arg:"--set,separate" placeholder:"KEY=VALUE" help:"override a setting, such as listen.callers=10.0.0.5:7001"`

	Platform bool `arg:"--platform" help:"the file is a gateway's, in the users' platform's format"`
}

// checkReport is the result of a check in JSON.
type checkReport struct {
	OK       bool             `json:"ok"`
	Problems tomldoc.Problems `json:"problems"`
}

func (c *checkSettings) run(_ context.Context, e *environment) error {
	if c.Platform {
		return c.checkPlatform(e)
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

// checkPlatform checks a gateway's settings.
func (c *checkSettings) checkPlatform(e *environment) error {
	if len(c.Set) > 0 {
		return usage("--set does not go with --platform")
	}
	if _, err := platform.LoadSettings(c.File); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	return e.reportCheck(c.File, nil)
}

// parseOverrides reads the values of --set.
func parseOverrides(set []string) ([]settings.Override, error) {
	var out []settings.Override
	for _, text := range set {
		o, ok := settings.ParseOverride(text)
		if !ok {
			return nil, usage("--set %s: write KEY=VALUE", text)
		}
		out = append(out, o)
	}
	return out, nil
}

// reportCheck prints the problems of a file, or that it is sound.
func (e *environment) reportCheck(name string, err error) error {
	var problems tomldoc.Problems
	if err != nil && !errors.As(err, &problems) {
		return err
	}
	report := checkReport{OK: len(problems) == 0, Problems: problems}
	if problems == nil {
		report.Problems = tomldoc.Problems{}
	}
	e.print(report, func(w io.Writer) {
		if report.OK {
			fmt.Fprintf(w, "%s: ok\n", name)
		}
		for _, p := range problems {
			fmt.Fprintln(e.err, p)
		}
	})
	if !report.OK {
		return errReported
	}
	return nil
}
