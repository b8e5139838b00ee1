// Package guard checks the heads of the messages that net/http reads, as a server or as a client, before it reads them.
//
// It follows each connection from one message to the next, and ends it with a head that is malformed: a server answers it with
// status 400, a client gets an error. Bodies pass through. A connection is read by one goroutine at a time, so it needs no locks.
package guard
