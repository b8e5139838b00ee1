package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// attempt is one request of a client and what became of it.
type attempt struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int // 0 without an answer
	retry  time.Duration
}

// newClient returns the clients of a host; connections are kept. A connection may take one second to be established.
func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 512, IdleConnTimeout: 8 * time.Second, DisableCompression: true,
	}}
}

// send sends one request to the node of a host, and waits for its answer until the time limit.
func (f *fleet) send(client *http.Client, h *host, method, hostname, path string, body []byte, limit time.Duration) attempt {
	a := attempt{id: fmt.Sprintf("a%09x", attempts.Add(1)), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+f.addr(h.ip, portOutbound)+path, bytes.NewReader(body))
	request.Host = hostname
	request.Header.Set(names.Attempt, a.id)
	request.Header.Set(names.Deadline, strconv.FormatInt(limit.Milliseconds(), 10))
	f.record.line("sent %s %s %s to %s, %d bytes", a.id, method, path, h.ip, len(body))
	response, err := client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	a.took = time.Since(a.sent)
	if err != nil {
		f.record.line("no answer %s after %.3f s", a.id, a.took.Seconds())
		return a
	}
	a.status = response.StatusCode
	if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retry = time.Duration(s * float64(time.Second))
	}
	f.record.line("answered %s %d after %.3f s", a.id, a.status, a.took.Seconds())
	return a
}
