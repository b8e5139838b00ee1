package relay

import (
	"expvar"
	"net"
	"net/rpc"
	"strings"
)

var (
	// bytesSent counts the bytes of all messages that this process has sent to peers, with their frame headers.
	bytesSent = expvar.NewInt("peerBytesSent")
	// bytesByKind counts the same bytes by the rpc method and the location of the peer.
	bytesByKind = expvar.NewMap("peerBytesSentByKind")
)

// unknownLocation is the location of a peer as long as nothing tells it.
const unknownLocation = "unknown"

// Locate returns the location of the peer at an IP address, by which sent bytes are counted.
type Locate func(ip string) string

// BytesSent returns the number of bytes sent to peers by kind of message and location of the peer.
func BytesSent() map[string]int64 {
	sent := map[string]int64{}
	bytesByKind.Do(func(kv expvar.KeyValue) {
		if count, ok := kv.Value.(*expvar.Int); ok {
			sent[kv.Key] = count.Value()
		}
	})
	return sent
}

// countSent counts a message to a peer; header is that of net/rpc.
func countSent(header any, size int, to net.Addr, locate Locate) {
	location := unknownLocation
	if tcp, ok := to.(*net.TCPAddr); ok && locate != nil {
		location = locate(tcp.IP.String())
	}
	bytesSent.Add(int64(size))
	bytesByKind.Add(kindOf(header)+"."+location, int64(size))
}

func kindOf(header any) string {
	switch h := header.(type) {
	case *rpc.Request:
		return strings.TrimPrefix(h.ServiceMethod, serviceName+".")
	case *rpc.Response:
		return strings.TrimPrefix(h.ServiceMethod, serviceName+".") + "Reply"
	}
	return "other"
}
