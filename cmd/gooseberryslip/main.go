// Command gooseberryslip is the only binary of the serving system: it runs
// daemons, gateways and the operators' tools, each as a subcommand.
package main

import (
	"os"

	"github.com/gooseberryslip/gooseberryslip/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:]))
}
