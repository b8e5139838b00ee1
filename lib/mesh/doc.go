// Package mesh chooses the peers with which a node exchanges heartbeats. Their number does not grow with the fleet: each node
// has a few neighbors that stay the same while the list of hosts does, most of them in its own availability zone. News
// reaches all nodes over the neighbors of neighbors. The package holds no state and needs no locks.
package mesh
