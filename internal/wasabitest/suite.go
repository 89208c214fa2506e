// Package wasabitest runs Ginkgo suites with a fixed seed, so that every run
// of the tests takes the same course.
//
// # Usage
//
//	func TestLease(t *testing.T) {
//		wasabitest.Run(t, "lease")
//	}
package wasabitest

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Seed is the seed of every suite and the default seed of random tests.
const Seed = 20261202

// Run runs the specs of the calling package.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = Seed
	ginkgo.RunSpecs(t, name, suite, reporter)
}
