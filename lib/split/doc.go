// Package split keeps the parts of split routes to their weights, also while one part has room for less than its share:
// what it cannot take is refused, and the other parts are not given more for it.
//
// Lock order: the lock of a Table is taken alone.
package split
