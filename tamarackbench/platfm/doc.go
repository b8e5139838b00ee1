// Package platfm is a stand-in for the platform's configuration service, for tests and measurements: it serves values to
// read and watch, counts the calls, and can fail or serve stale values on demand. One lock guards all of its state.
package platfm
