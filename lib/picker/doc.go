// Package picker chooses an endpoint for a request that any of them may run.
//
// It takes the one with the lowest cost: the share of its slots that is taken, with surcharges for another availability
// zone, for latency beyond the quickest endpoint's, and for refusals. It sets endpoints aside on its own evidence only.
//
// Lock order: a Table's lock is taken alone.
package picker
