// Package fair orders the requests of several flows, such as organisations, so that each flow that waits gets served in
// proportion to its weight, and what one flow leaves goes to the others.
//
// It is start-time fair queueing (Goyal, Vin and Cheng, "Start-time Fair Queuing", SIGCOMM 1996): each request gets a virtual
// start time, and the one with the lowest is served next.
//
// A Table has no lock; its owner must not use it concurrently.
package fair
