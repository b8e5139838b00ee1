// Package hosts holds the platform's list of live and leaving endpoints, and ranks the endpoints of a service in the
// order in which they own a key. A List is immutable and needs no locks.
package hosts
