// Package node is the controller: it takes a request through the decisions of the other packages, and keeps in touch
// with its peers and the platform. It knows nothing of HTTP or net/rpc.
//
// Lock order, outermost first: a spread.Store, Node.mu, lease.Group, claims.Table, chain.Table, chain.Open,
// retry.Ledger, queue.Queue, limit.Limit; crash.Table, picker.Table, press.Table, retry.Budget, split.Table,
// stats.Table, fanout.Table, origin.Table, admit.Gauge, admit.Gate, capped.Budget and the run times are taken alone. A
// lock is never held over a message.
package node
