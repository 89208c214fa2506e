// Package wasabitest runs Ginkgo suites and rapid's property tests with a fixed
// seed, so that test runs are reproducible. Packages whose tests use rapid must
// import it as well, because its init function sets the flags of rapid.
//
// # Usage
//
//	func TestLease(t *testing.T) {
//		wasabitest.Run(t, "lease")
//	}
package wasabitest

import (
	"flag"
	"strconv"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	// The import registers rapid's flags before init sets them.
	_ "pgregory.net/rapid"
)

// Seed is the seed of every suite and the default seed of property tests.
const Seed = 20261202

// init sets the seed of property tests and turns off their failure files. Flags on
// the command line take precedence, because they are parsed later.
func init() {
	if err := flag.Set("rapid.seed", strconv.Itoa(Seed)); err != nil {
		panic("test: " + err.Error())
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic("test: " + err.Error())
	}
}

// Run runs the specs of the calling package as a suite with the given name.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = Seed
	ginkgo.RunSpecs(t, name, suite, reporter)
}
