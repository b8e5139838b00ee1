// Package picker chooses an endpoint for a request that any endpoint of its service may run.
//
// It picks the endpoint with the lowest cost: the fraction of its slots in use, with surcharges for another
// availability zone, for latency above that of the fastest endpoint, for refusals and for unanswered requests.
// Outlier ejection relies only on this node's attempts and on the endpoint's replies to this node's heartbeats, never on
// what other nodes report about the endpoint.
//
// Lock order: a Table has one lock; no other lock is held while it is taken, and none is taken under it.
package picker
