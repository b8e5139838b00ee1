// Package slopes measures the costs of nodes, for the commands tamarackbench slopes and hop: what they spend on control at
// several sizes of a fleet without callers, and what a node on its way adds to a call. Its only lock guards the histogram
// of an open loop.
package slopes
