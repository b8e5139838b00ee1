// Package origin tells routes that callers use from those that only backend servers call, where nothing in a request says
// who sent it.
//
// Callers come to every node; a backend server calls only through its own. So a route whose requests enter beside nearly
// all services is one of callers. The node that runs them sees where each entered, and says in its answers what it found.
package origin
