package mesh

import (
	"tamarackrudder.org/lib/hosts"
)

// The number of neighbors of each kind. Random graphs of this degree stay connected when many of their nodes fail.
const (
	// zoneNeighbors are in the own availability zone, of any service.
	zoneNeighbors = 3
	// remoteNeighbors are in other zones, of any service.
	remoteNeighbors = 1
	// serviceZoneNeighbors are of the own service in the own zone, serviceRemoteNeighbors in other zones.
	serviceZoneNeighbors   = 2
	serviceRemoteNeighbors = 2
)

// MaxNeighbors bounds the neighbors of a node.
const MaxNeighbors = zoneNeighbors + remoteNeighbors + serviceZoneNeighbors + serviceRemoteNeighbors

// Neighbors are the peers with which a node exchanges heartbeats in each round.
type Neighbors struct {
	service []string
	others  []string
}

// Service returns the addresses of the neighbors of the node's own service.
func (n Neighbors) Service() []string { return n.service }

// Others returns the addresses of further neighbors, some of which may be of the own service too.
func (n Neighbors) Others() []string { return n.others }

// Choose returns the neighbors of the node at the address self, by rendezvous hashing, so that a change of the list moves few
// of them. Endpoints that are leaving are nobody's neighbors.
func Choose(list *hosts.List, self, service, zone string) Neighbors {
	var sameZone, otherZones, serviceSameZone, serviceOtherZones []hosts.Endpoint
	for _, e := range list.Endpoints() {
		if e.Leaving() || e.RPCAddr() == self {
			continue
		}
		near := e.Zone() == zone
		switch {
		case near && e.Service() == service:
			serviceSameZone = append(serviceSameZone, e)
		case e.Service() == service:
			serviceOtherZones = append(serviceOtherZones, e)
		}
		if near {
			sameZone = append(sameZone, e)
		} else {
			otherZones = append(otherZones, e)
		}
	}
	return Neighbors{
		service: append(nearest(serviceSameZone, self, serviceZoneNeighbors), nearest(serviceOtherZones, self, serviceRemoteNeighbors)...),
		others:  append(nearest(sameZone, self, zoneNeighbors), nearest(otherZones, self, remoteNeighbors)...),
	}
}

// nearest returns the addresses of up to count endpoints that rank highest for a node.
func nearest(endpoints []hosts.Endpoint, self string, count int) []string {
	ranked := hosts.Rank(endpoints, self)
	return ranked[:min(count, len(ranked))]
}
