// Package picker chooses an endpoint for a request that any endpoint of its service may run.
//
// It picks the endpoint with the lowest cost: the fraction in use of what it takes well, with surcharges for another
// availability zone, for latency above that of the fastest endpoint, for refusals and for unanswered requests. What an
// endpoint takes well and how fast it is comes from its own node where that tells, else slots and own latencies are used. A
// few requests are placed without regard to zones, so that endpoints of other zones stay known.
// Outlier ejection relies only on this node's attempts and on the endpoint's replies to this node's heartbeats, never on
// what other nodes report about the endpoint.
//
// Lock order: a Table has one lock; no other lock is held while it is taken, and none is taken under it.
package picker
