// Package doors keeps the account of what a process holds for its callers: their connections, the heads that they send, the
// bodies that arrive, and the answers that they have yet to read. It decides who gives way where one of these is full: callers
// that make no progress in bytes over time, then those that wait without a request, and never one whose request is served.
//
// Lock order: the table has one lock. No other is taken under it, and it is taken alone; connections are closed after it is
// released. What a caller's reads and writes change are atomics.
package doors
