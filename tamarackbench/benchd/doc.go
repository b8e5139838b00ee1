// Package benchd is the command line of tamarackbench: it turns flags into calls of the packages that simulate and
// measure, and prints their results. It has no locks.
package benchd
