// Package split divides the requests of a split route among services by weight, also while one of them has too little
// room for its share: requests for which it has no room are refused and not sent to the other services instead.
//
// Lock order: a Table has one lock; no other lock is held while it is taken, and none is taken under it.
package split
