// Package limit adapts the concurrency limit of a backend server to the latency that the node beside it measures.
//
// The limit falls when the backend server's self time (without its downstream calls) grows well past the lowest mean
// seen, or when the backend server sheds; it then rises step by step up to the published slots (after Brakmo et al.,
// "TCP Vegas", 1994).
//
// Lock order: a Limit's lock is the innermost; it may be taken under that of a queue.Queue.
package limit
