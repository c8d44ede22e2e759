package fleet

import "flag"

// Property tests draw the same cases on every run; -rapid.seed gives others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
