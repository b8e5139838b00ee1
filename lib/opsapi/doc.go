// Package opsapi is the operators' interface of a node: a JSON API over HTTP with its server, for tamarackd, and its
// client, for tamarackctl. The server also exposes expvar and pprof under /debug.
//
// The report types have exported fields because encoding/json requires them. The package has no locks.
package opsapi
