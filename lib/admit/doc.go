// Package admit turns requests away where they enter, when a service that they will need has no room for all of them.
//
// A Gauge stands beside each backend server and moves a level from 0 to 1 by how many requests wait there. The levels, and
// what a request of each route costs at each service, travel with answers. A Gate stands where callers enter and lets
// through a share of each route that follows from them: lower classes first, and of equals those that cost the scarce
// service most (after Zhou et al., "Overload Control for Scaling WeChat Microservices", 2018).
//
// Lock order: the lock of a Gauge or of a Gate is taken alone.
package admit
