// Package heads checks the raw head of an HTTP/1 message: its first line and its header fields.
//
// net/http accepts more than RFC 9112 allows, and another reader of the same bytes may see other fields or another body in them.
// What this package accepts, every reader understands alike. It needs no locks.
package heads
