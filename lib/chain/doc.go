// Package chain keeps the requests that the local backend server is running, so that the downstream calls of each
// share its deadline, its class and its retry allowance.
//
// Lock order: a Table's lock, then an Open's lock, then that of its retry.Ledger.
package chain
