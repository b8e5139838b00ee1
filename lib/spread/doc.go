// Package spread decides which version of a published value, such as the rules or the list of hosts, is in force, and
// gives each version a stamp by which nodes find out that a peer has a newer one.
//
// Lock order: a Store's lock is the outermost of a node. The Parse and Apply seams are called under it and must not
// call the store.
package spread
