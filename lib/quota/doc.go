// Package quota decides how many requests of an organisation run on the whole fleet. Each organisation has a home node,
// whose token bucket the nodes that its requests enter ask for tokens. The bound also holds while nodes are killed, cut off,
// started or listed differently; docs/design/quota.md states and proves it.
//
// Lock order: the locks of Entry, Home, Ranking and the probes of a Home are taken alone. None is held during an ask.
package quota
