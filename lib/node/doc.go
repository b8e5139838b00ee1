// Package node assembles the decision packages into one node, for tamarackd: it admits a request, chooses an endpoint,
// runs, queues or refuses it, and retries it. It exchanges heartbeats, leases and claims with its peers and watches the
// platform for rules and the list of hosts. It does not depend on HTTP or net/rpc; Seams connect it to them.
//
// A node is untraced if its backend server does not copy the context of a request into its downstream calls. Such a node
// cannot attribute a call to the request that it belongs to; it admits at entry by slot demand (package admit) instead
// of by back-pressure (package press), and shares neither the deadline nor the retry allowance of a request with its
// downstream calls.
//
// Lock order, outermost first: a spread.Store, Node.mu, lease.Group, claims.Table, chain.Table, chain.Open,
// retry.Ledger, queue.Queue, limit.Limit; crash.Table, picker.Table, press.Table, retry.Budget, split.Table,
// stats.Table, fanout.Table, origin.Table, admit.Gauge, admit.Gate, capped.Limiter, takes.Learner, leafRoutes, runTimes,
// recentKeys and those of package quota are taken alone. No lock is held while a message is sent or awaited.
package node
