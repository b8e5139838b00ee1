// Package retry limits retries in two ways: by an allowance that a request and its downstream calls share, and by a
// budget for each service over a sliding time window.
//
// Lock order: all locks of this package are innermost; no other lock is taken under them.
package retry
