// Package gossip holds the messages that nodes exchange with each other: heartbeats, handovers of claims, and replies to
// endpoints that reclaim their keys. They are free of any wire encoding, which lib/relay adds. Messages are values and
// need no locks.
package gossip
