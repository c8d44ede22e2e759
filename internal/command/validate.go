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

type validateCommand struct {
	Files    []string `arg:"positional,required" help:"service documents"`
	Platform bool     `arg:"--platform" help:"the files are gateway configurations in JSON, as the operator of the users' platform writes them"`
}

func (v *validateCommand) run(_ context.Context, e *environment) error {
	var all tomldoc.Problems
	for _, name := range v.Files {
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		all = append(all, v.fileProblems(name, data)...)
	}
	return e.reportCheck(strings.Join(v.Files, ", "), all.Err())
}

// fileProblems returns what is wrong with the content of one file.
func (v *validateCommand) fileProblems(name string, data []byte) tomldoc.Problems {
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
