package configuration

import "flag"

// Property tests draw the same cases on every run; the flag -rapid.seed selects
// others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
