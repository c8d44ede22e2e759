// Command gooseberryslip is the one binary of the serving system.
package main

import (
	"os"

	"github.com/gooseberryslip/gooseberryslip/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:]))
}
