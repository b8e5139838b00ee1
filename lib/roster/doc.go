// Package roster builds the list of hosts for a platform that publishes one entry per endpoint. It decides which entries
// count: at each address the one with the newest start of the backend server, and for a short time also entries that
// expired while the platform was unreachable or just after. A list is certain if its maker has followed the platform for so
// long that it knows what has left; at the same position it outranks one that is not.
//
// Lock order: a Table's lock is taken alone; under it only the clock is called.
package roster
