// Package fleet starts the processes of a deployment on loopback addresses: the stand-in for the platform and, for each
// endpoint, a backend server with its node. It also describes the deployments that tests and measurements run. A Fleet
// is used by one goroutine at a time; the only lock guards the choice of free ports.
package fleet
