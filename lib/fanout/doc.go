// Package fanout estimates how many calls of each route a backend server makes per request of each route it runs,
// where the calls do not carry the request that they are made for.
//
// Time is divided into short windows. The calls in a window are modelled as the sum, over the routes, of the
// fractions of requests that fall into the window times the number of calls per request. These numbers are fitted by
// non-negative least squares over the windows, with older windows weighted less.
//
// Lock order: a Table has one lock; no other lock is held while it is taken, and none is taken under it.
package fanout
