package command

import (
	"context"
	"errors"
	"os"
	"strings"

	"github.com/gooseberryslip/gooseberryslip/internal/servicedoc"
	"github.com/gooseberryslip/gooseberryslip/internal/tomldoc"
	"github.com/gooseberryslip/gooseberryslip/platform"
)

type validate struct {
	Files    []string `arg:"positional,required" help:"service documents"`
	Platform bool     `arg:"--platform" help:"the files are configurations as the users' platform's operator writes them (JSON)"`
}

func (v *validate) run(_ context.Context, e *environment) error {
	var all tomldoc.Problems
	for _, name := range v.Files {
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		all = append(all, v.problems(name, data)...)
	}
	return e.reportCheck(strings.Join(v.Files, ", "), all.Err())
}

// problems returns what is wrong with one file.
func (v *validate) problems(name string, data []byte) tomldoc.Problems {
	if v.Platform {
		return configurationProblems(name, data)
	}
	_, err := servicedoc.Parse(name, data)
	var problems tomldoc.Problems
	errors.As(err, &problems)
	return problems
}

// configurationProblems returns what is wrong with a gateway's configuration.
func configurationProblems(name string, data []byte) tomldoc.Problems {
	doc, err := platform.DecodeConfiguration(data)
	if err != nil {
		return tomldoc.Problems{{File: name, Reason: err.Error()}}
	}
	var out tomldoc.Problems
	for _, reason := range doc.Problems() {
		out = append(out, tomldoc.Problem{File: name, Reason: reason})
	}
	return out
}
