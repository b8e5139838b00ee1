// Package relay carries the messages between nodes, such as requests and heartbeats, over net/rpc.
//
// The wire types have exported fields because encoding/gob needs them. Their names and those of their fields are part of
// the protocol. They are used only in this package, which converts them from and to the types of the other packages.
//
// Lock order: the lock of a link, then that of its connection; all other locks are taken alone.
package relay
