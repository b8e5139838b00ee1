// Package wiring is the command line of tamarackd: it reads the settings from flags, environment variables or the
// platform's settings file, connects the node to its peers, its backend server and the platform, and runs all listeners in
// one group, in which the end of one ends all. The package has no locks.
package wiring
