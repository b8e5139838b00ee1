// Package wiring is the command line of tamarackd: it reads the settings from flags, environment variables or the
// platform's settings file, connects the node to its peers, its backend server and the platform, and runs all listeners in
// one group that ends as a whole. The package has no locks.
package wiring
