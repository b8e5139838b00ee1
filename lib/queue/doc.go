// Package queue holds the requests that wait for one backend server, highest priority first, and runs them within a
// concurrency limit.
//
// Lock order: of the locks in a node, only those that the seams need (that of limit.Limit, for example) may be taken
// under a Queue's lock. The seams must not call the Queue.
package queue
