// Package plat is the client with which a node reads and watches values at the platform's configuration service, such as
// its list of hosts. It also decodes and encodes that list. It needs no locks.
package plat
