// Package wasabitest runs Ginkgo suites and rapid's property tests with a fixed
// seed, so that every run of the tests takes the same course. A package whose
// tests use rapid imports this package too.
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

// Seed is the seed of every suite and the default seed of random tests.
const Seed = 20261202

// init gives property tests a fixed seed as well. Flags on the command line
// still win, because they are parsed later.
func init() {
	if err := flag.Set("rapid.seed", strconv.Itoa(Seed)); err != nil {
		panic("test: " + err.Error())
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic("test: " + err.Error())
	}
}

// Run runs the specs of the calling package.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = Seed
	ginkgo.RunSpecs(t, name, suite, reporter)
}
