// Package roster makes one list of hosts out of entries that a platform publishes one by one, and decides which of them
// count: the newest start at an address, and for a while those that lapsed while the platform was away.
package roster
