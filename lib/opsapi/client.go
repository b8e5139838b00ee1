package opsapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

const clientTimeout = 10 * time.Second

// Client calls the operators' API of one node. Its calls time out after 10 s.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client for the node whose operators' listener is at addr, an IP:port.
func NewClient(addr string) *Client {
	return &Client{base: "http://" + addr, client: &http.Client{Timeout: clientTimeout}}
}

// Status returns the node's state: versions in force, lease, limits, queue and refusals.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return invoke[Status](ctx, c, http.MethodGet, "/v1/status")
}

// Drain makes the node leave: it takes no new requests and hands over its idempotency keys, while requests in flight
// continue. The status is read afterwards, when requests may still be in flight.
func (c *Client) Drain(ctx context.Context) (Status, error) {
	return invoke[Status](ctx, c, http.MethodPost, "/v1/drain")
}

// Undrain ends a drain: the node takes new requests again. The status is read afterwards.
func (c *Client) Undrain(ctx context.Context) (Status, error) {
	return invoke[Status](ctx, c, http.MethodPost, "/v1/undrain")
}

// Rules returns the rules in force at the node; version 0 and empty text mean that there are none yet.
func (c *Client) Rules(ctx context.Context) (Rules, error) {
	return invoke[Rules](ctx, c, http.MethodGet, "/v1/rules")
}

// Histograms returns the node's counts of verdicts and its latency percentiles, by organisation and class.
func (c *Client) Histograms(ctx context.Context) ([]Histogram, error) {
	return invoke[[]Histogram](ctx, c, http.MethodGet, "/v1/histogram")
}

// Quotas returns what the node has granted of the quotas of organisations.
func (c *Client) Quotas(ctx context.Context) ([]Quota, error) {
	return invoke[[]Quota](ctx, c, http.MethodGet, "/v1/quota")
}

// Explain returns what the node would do with a request, without running it. The path may begin with a host name; key is
// the request's Idempotency-Key, and organisation the one that it belongs to, each empty for none.
func (c *Client) Explain(ctx context.Context, method, path, key, organisation string) (Explanation, error) {
	query := url.Values{"method": {method}, "path": {path}, "key": {key}, "organisation": {organisation}}
	return invoke[Explanation](ctx, c, http.MethodGet, "/v1/explain?"+query.Encode())
}

func invoke[T any](ctx context.Context, c *Client, method, path string) (T, error) {
	var result T
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, http.NoBody)
	if err != nil {
		return result, fmt.Errorf("operator request: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return result, fmt.Errorf("operator request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return result, fmt.Errorf("operator request: status %d: %s", response.StatusCode, text)
	}
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return result, fmt.Errorf("operator answer: %w", err)
	}
	return result, nil
}
