// Package claims records the idempotency keys that an endpoint has run or is running, and those that it imported from
// other endpoints, each with its answer where that is known. The node beside a backend server claims the key of a
// non-idempotent request before it runs the request, so that no key runs twice.
//
// Lock order: a Table's lock is taken alone; under it only the clock is called.
package claims
