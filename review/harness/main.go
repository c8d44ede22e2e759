package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by their names. Each plays one and returns an error if it could not.
var cases = map[string]func(*world) error{
	"upgrade":     upgradeInOutage,
	"two-leaders": twoLeaders,
	"stop":        stopUnderLoad,
	"late-route":  lateRoute,
	"first-start": firstStart,
	"restart-all": restartAll,
	"restart-one": restartAllOneVersion,
	"uploads":     uploadBurst,
	"leaving":     leavingWorker,
}

// maxTime bounds a case.
const maxTime = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: harness CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- cases[os.Args[1]](w) }()
	select {
	case err = <-ended:
	case sig := <-interrupted:
		err = fmt.Errorf("%v", sig)
	case <-time.After(maxTime):
		err = fmt.Errorf("it took longer than %v", maxTime)
	}
	code := w.end()
	if err != nil {
		fmt.Println("the case could not run:", err)
		code = 2
	}
	os.Exit(code)
}
