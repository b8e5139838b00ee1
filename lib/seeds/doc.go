// Package seeds runs a package's tests with a fixed rapid seed and fixed numbers of checks and steps, so that each run
// gives the same result. Flags on the command line take precedence. It is for tests only and needs no locks.
package seeds
