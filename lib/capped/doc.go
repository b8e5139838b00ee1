// Package capped limits the rate of log lines and counts the lines that it suppresses.
//
// Lock order: the limiter has one lock; no other lock is held while it is taken, and none is taken under it.
package capped
