// Package testseed makes property tests deterministic: it fixes the seed of the generator of package rapid. Packages with
// such tests call Main from their TestMain. A test run with another seed passes the flag -rapid.seed.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package with a fixed seed of the generator, unless the flag -rapid.seed sets one, and exits.
func Main(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("20261201"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
