// Package call holds the request and answer types that the packages of a node pass to each other. The types do not depend
// on a wire encoding: package relay converts them for messages between nodes, package front for callers.
package call
