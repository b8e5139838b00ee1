// Package bserv is a stand-in for a backend server, for tests and measurements: its requests hold a slot, take a planned
// time and make downstream calls through the local node, and it can be slowed down, refuse requests or crash. The only
// lock guards the counts of runs by key; the test switches are atomic.
package bserv
