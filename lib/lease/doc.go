// Package lease decides which endpoint of a service may run a non-idempotent request, without any stored state.
//
// For each key the endpoints of a service have a rank. An endpoint may run the requests of the keys for which it ranks
// first while a majority of the service's endpoints has granted it a short lease under the newest list that it has
// adopted, and once every older list is out of use. docs/DESIGN.md works out why two endpoints never own the same key
// at once. The node beside each backend server sends the package's states in its heartbeats and asks it for a Permit
// before it runs a request.
//
// Lock order: a Group's lock is taken alone; under it no seam but the clock is called.
package lease
