// Package admit refuses requests at the node where they enter when a downstream service on their route has too little
// room for all of them.
//
// A Gauge beside each backend server derives an admit level between 0 and 1 from the queueing delay there. Answers
// carry these levels, together with the slot demand of the route at each service. A Gate at the entry node turns them
// into an admission probability for each route: lower classes are shed first, and within a class the routes that cost
// the scarce service most (after Zhou et al., "Overload Control for Scaling WeChat Microservices", 2018).
//
// A Gauge also reports the fraction of requests that its backend server accepts. Where servers reject some whatever they get, the
// gate admits as many of the requests that need several calls as the allowed retries can make up for: docs/design/chains.md.
//
// Lock order: a Gauge and a Gate each have one lock; no other lock is held while it is taken, and none is taken under
// it.
package admit
