// Package stats counts verdicts and records latency histograms by organisation and class, for the operators' reports of a node.
//
// Lock order: a Table's lock is taken alone.
package stats
