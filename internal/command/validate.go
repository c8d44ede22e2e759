package command

import (
	"context"
	"errors"
	"os"
	"strings"

	"github.com/gooseberryslip/gooseberryslip/internal/servicedoc"
	"github.com/gooseberryslip/gooseberryslip/internal/tomldoc"
)

type validate struct {
	Files []string `arg:"positional,required" help:"service documents"`
}

func (v *validate) run(_ context.Context, e *environment) error {
	var all tomldoc.Problems
	for _, name := range v.Files {
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		_, err = servicedoc.Parse(name, data)
		var problems tomldoc.Problems
		if errors.As(err, &problems) {
			all = append(all, problems...)
		}
	}
	return e.reportCheck(strings.Join(v.Files, ", "), all.Err())
}
