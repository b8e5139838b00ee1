package plat

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"tamarackrudder.org/lib/guard"
	"tamarackrudder.org/lib/hosts"
)

// The names of the platform's values.
const (
	NameRules = "rules"
	NameHosts = "hosts"
)

// HeaderVersion is the response header with the platform's version of a value.
const HeaderVersion = "X-Value-Version"

const (
	maxValueBytes = 1<<20 + 1<<12
	readTimeout   = 2 * time.Second
)

// Value is one version of a value at the platform.
type Value struct {
	sequence uint64
	text     []byte
}

// Sequence returns the platform's version of the value.
func (v Value) Sequence() uint64 { return v.sequence }

// Text returns the value as the platform sent it.
func (v Value) Text() []byte { return v.text }

// Client reads values from the platform's configuration service.
type Client struct {
	base   string
	client *http.Client
}

// New returns a client for the configuration service at an IP address and port.
func New(addr string) *Client {
	transport := &http.Transport{DialContext: guard.Dial((&net.Dialer{Timeout: readTimeout}).DialContext)}
	return &Client{base: "http://" + addr, client: &http.Client{Transport: transport}}
}

// ErrUnchanged is returned by a watch that ended without a newer value.
var ErrUnchanged = errors.New("value unchanged")

// Watch waits at most the given time for a value with a higher sequence than after, and returns ErrUnchanged if none came.
func (c *Client) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (Value, error) {
	ctx, stop := context.WithTimeout(ctx, wait+readTimeout)
	defer stop()
	query := url.Values{
		"after":  {strconv.FormatUint(after, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c.get(ctx, name, query)
}

func (c *Client) get(ctx context.Context, name string, query url.Values) (Value, error) {
	target := c.base + "/v1/values/" + name
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return Value{}, fmt.Errorf("platform request: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return Value{}, fmt.Errorf("platform: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return Value{}, ErrUnchanged
	}
	if response.StatusCode != http.StatusOK {
		return Value{}, fmt.Errorf("platform: status %d for %s", response.StatusCode, name)
	}
	return readValue(response)
}

func readValue(response *http.Response) (Value, error) {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxValueBytes+1))
	if err != nil {
		return Value{}, fmt.Errorf("platform value: %w", err)
	}
	if len(text) > maxValueBytes {
		return Value{}, fmt.Errorf("platform value is over %d bytes", maxValueBytes)
	}
	sequence, err := strconv.ParseUint(response.Header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return Value{}, fmt.Errorf("platform value has no valid version header: %w", err)
	}
	return Value{sequence: sequence, text: text}, nil
}

type listWire struct {
	Version   uint64         `json:"version,omitempty"`
	Endpoints []endpointWire `json:"endpoints"`
}

type endpointWire struct {
	Service string `json:"service"`
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	RPCAddr string `json:"rpcAddr"`
	State   string `json:"state"`
	// Only some platforms report the fields below. Times are Unix milliseconds.
	Instance string `json:"instance,omitempty"`
	Slots    int    `json:"slots,omitempty"`
	Started  int64  `json:"started,omitempty"`
	WarmAt   int64  `json:"warmAt,omitempty"`
	// Heartbeats counts the heartbeats of the backend server from its start until it wrote the entry.
	Heartbeats int64 `json:"heartbeats,omitempty"`
}

const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// DecodeList decodes a list of hosts. A list that has no version gets sequence, the platform's version of the value.
func DecodeList(sequence uint64, text []byte) (*hosts.List, error) {
	var wire listWire
	if err := json.Unmarshal(text, &wire); err != nil {
		return nil, fmt.Errorf("list of hosts: %w", err)
	}
	if wire.Version == 0 {
		wire.Version = sequence
	}
	endpoints := make([]hosts.Endpoint, 0, len(wire.Endpoints))
	for _, e := range wire.Endpoints {
		if e.State != stateLive && e.State != stateLeaving {
			return nil, fmt.Errorf("list of hosts: endpoint %s has unknown state %q", e.RPCAddr, e.State)
		}
		endpoints = append(endpoints, e.endpoint())
	}
	list, err := hosts.NewList(wire.Version, endpoints)
	if err != nil {
		return nil, fmt.Errorf("list of hosts: %w", err)
	}
	return list, nil
}

func (w endpointWire) endpoint() hosts.Endpoint {
	e := hosts.NewEndpoint(w.Service, w.Host, w.Zone, w.RPCAddr, w.State == stateLeaving).WithSlots(w.Slots)
	if w.Instance != "" {
		e = e.WithInstance(w.Instance, time.UnixMilli(w.Started)).WithWarmAt(time.UnixMilli(w.WarmAt)).
			WithHeartbeats(w.Heartbeats)
	}
	return e
}

func toEndpointWire(e hosts.Endpoint) endpointWire {
	w := endpointWire{
		Service: e.Service(), Host: e.Host(), Zone: e.Zone(), RPCAddr: e.RPCAddr(), State: stateLive, Slots: e.Slots(),
	}
	if e.Leaving() {
		w.State = stateLeaving
	}
	if e.Instance() != "" {
		w.Instance, w.Started, w.WarmAt = e.Instance(), e.Started().UnixMilli(), e.WarmAt().UnixMilli()
		w.Heartbeats = e.Heartbeats()
	}
	return w
}

// EncodeList encodes a list of hosts as the platform publishes it.
func EncodeList(list *hosts.List) ([]byte, error) {
	wire := listWire{Version: list.Version()}
	for _, e := range list.Endpoints() {
		wire.Endpoints = append(wire.Endpoints, toEndpointWire(e))
	}
	text, err := json.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("list of hosts: %w", err)
	}
	return text, nil
}
