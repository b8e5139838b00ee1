// Package rules parses and checks the operators' rules file: request classes, services, routes, organisations and their limits.
// Nodes apply the resulting Set, and tamarackctl checks files with the same parser.
//
// The first line of a file is "version N"; each further line contains one rule, which ends in a comment
// "# asked by: WHO". A file with any fault is refused as a whole.
//
// A Set does not change after it has been built, so it has no locks.
package rules
