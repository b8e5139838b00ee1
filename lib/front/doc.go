// Package front is the HTTP interface for callers: it reads their requests completely, passes them to the node, and writes
// the responses.
package front
