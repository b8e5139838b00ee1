// Package verbs is the command line of tamarackctl: it calls the operators' API of the nodes given by --nodes and prints
// their answers as tables or JSON. The package has no locks.
package verbs
