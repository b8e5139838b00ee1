// Package clock provides the time through an interface, so that code that depends on time can be tested without waiting.
//
// Lock order: a Manual's lock is taken last; other packages read the clock under their locks.
package clock
