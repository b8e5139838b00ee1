// Package origin tells routes that callers use from those that only backend servers call, where nothing in a request says
// who sent it.
//
// Callers come to every node, backend servers only to their own, and no service calls itself: a route that enters at a node
// beside the service that runs it is one of callers. Such nodes say so in their answers, from which the others learn it.
package origin
