// Package back is the HTTP client of a node for the local backend server. It sends each request once and states in the
// verdict whether the request can have run.
package back
