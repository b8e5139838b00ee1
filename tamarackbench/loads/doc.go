// Package loads simulates the callers of a deployment for tests and measurements: it sends their requests in an open
// loop, so that slow answers don't slow down the sending, and reports how the requests ended. The callers of one run
// share a Report, whose only lock guards its counts and outcomes.
package loads
