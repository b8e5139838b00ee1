package relay_test

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/relay"
)

// TestDifferenceKeepsEndpoints guards against wire types that lose a part of an endpoint.
func TestDifferenceKeepsEndpoints(t *testing.T) {
	is := is.New(t)
	started := time.UnixMilli(1_800_000_000_000)
	sent := []hosts.Endpoint{
		hosts.NewEndpoint("ledger", "10.0.0.1", "z1", "10.0.0.1:1", true),
		hosts.NewEndpoint("desk", "10.0.0.2", "z2", "10.0.0.2:1", false).WithSlots(5).WithHeartbeats(3).
			WithInstance("i-2", started).WithWarmAt(started.Add(time.Second)),
	}
	list, err := hosts.NewList(9, sent)
	is.NoErr(err)
	l := listen(t)
	s := relay.NewServer(l, relay.Handlers{
		Bodies:     newBodies(),
		FetchHosts: func(known hosts.Digest) hosts.Diff { return list.DiffFrom(known, 4) },
	})
	go func() { _ = s.Serve() }()
	t.Cleanup(s.Close)
	var none *hosts.List
	diff, err := relay.NewPeers(relay.DialTCP).FetchHosts(t.Context(), l.Addr().String(), none.Digest())
	is.NoErr(err)
	is.Equal(diff.Sequence(), uint64(4))
	got, err := none.Apply(diff)
	is.NoErr(err)
	is.Equal(got.Version(), uint64(9))
	is.Equal(got.Endpoints(), list.Endpoints())
}

// refuseAll answers each request on a connection as net/rpc does for a method that it does not know.
func refuseAll(conn net.Conn) {
	greeting := make([]byte, len("tamarackrudder/1\n"))
	_, _ = io.ReadFull(conn, greeting)
	_, _ = conn.Write(greeting)
	var in, out bytes.Buffer
	decoder, encoder := gob.NewDecoder(&in), gob.NewEncoder(&out)
	for {
		var size uint32
		if binary.Read(conn, binary.BigEndian, &size) != nil {
			return
		}
		_, _ = io.CopyN(&in, conn, int64(size))
		var request rpc.Request
		_ = decoder.Decode(&request)
		_ = decoder.DecodeValue(reflect.Value{})
		out.Reset()
		_ = encoder.Encode(rpc.Response{ServiceMethod: request.ServiceMethod, Seq: request.Seq, Error: "rpc: can't find method"})
		_ = encoder.Encode(struct{}{})
		_ = binary.Write(conn, binary.BigEndian, uint32(out.Len()))
		_, _ = conn.Write(out.Bytes())
	}
}

// TestPeerWithoutDifferencesKeepsItsConnection has a peer of an older version refuse the message twice.
func TestPeerWithoutDifferencesKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	accepted := make(chan struct{}, 2)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go refuseAll(conn)
		}
	}()
	peers := relay.NewPeers(relay.DialTCP)
	for range 2 {
		_, err := peers.FetchHosts(t.Context(), l.Addr().String(), hosts.Digest{})
		is.True(errors.Is(err, gossip.ErrUnsupported))
	}
	is.Equal(len(accepted), 1)
}

// TestSentBytesAreCountedByKindAndLocation guards against messages that are missing in the counts of one exchange.
func TestSentBytesAreCountedByKindAndLocation(t *testing.T) {
	is := is.New(t)
	list, err := hosts.NewList(9, nil)
	is.NoErr(err)
	l := listen(t)
	near := func(string) string { return "near" }
	s := relay.NewServer(l, relay.Handlers{
		Bodies:     newBodies(),
		FetchHosts: func(known hosts.Digest) hosts.Diff { return list.DiffFrom(known, 4) }, Locate: near,
	})
	go func() { _ = s.Serve() }()
	t.Cleanup(s.Close)
	peers := relay.NewPeers(relay.DialTCP)
	peers.CountBy(near)
	before := relay.BytesSent()
	_, err = peers.FetchHosts(t.Context(), l.Addr().String(), hosts.NewDigest([]uint64{1, 2, 3}))
	is.NoErr(err)
	after := relay.BytesSent()
	for _, kind := range []string{"FetchHosts.near", "FetchHostsReply.near"} {
		is.True(after[kind] > before[kind])
	}
}
