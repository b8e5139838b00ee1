// Package origin distinguishes entry routes, which callers use, from internal routes, which only backend servers
// call, where requests do not identify their sender.
//
// Callers send requests to every node, a backend server only to the node beside it. So a route whose requests enter
// at nodes beside nearly all services is an entry route. The node that runs the requests records beside which service
// each one entered, and reports entry routes in its answers.
//
// Lock order: a Table has one lock; no other lock is held while it is taken, and none is taken under it.
package origin
