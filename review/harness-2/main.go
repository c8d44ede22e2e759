// Command review-harness-2 plays the scripts of the second review: it starts the system's daemons as processes and
// stand-ins of all else, on loopback addresses, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	held   = 0 // the rule held
	broken = 1 // the rule was broken
	failed = 2 // the case could not run
)

var cases = map[string]func(w *world, trouble bool) (int, error){
	"parts":  playParts,
	"crowd":  playCrowd,
	"ids":    playIDs,
	"reborn": playReborn,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-harness-2 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordPath string) int {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %v", name, trouble)
	result, err := cases[name](w, trouble)
	if err != nil {
		result = failed
		w.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
	}
	w.note("exit code %d", result)
	return result
}
