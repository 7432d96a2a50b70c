// Package engine is the HTTP client of model engines.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/headcheck"
)

const (
	defaultDialTimeout   = 2 * time.Second
	defaultReportTimeout = 2 * time.Second
	idleConnTimeout      = 90 * time.Second
	// maxResponseBytes limits the body of a response. A report of 35,000 cached
	// adapters at about 100 bytes each has 3.5 MB.
	maxResponseBytes = 16 << 20
)

var _ tamarackknot.Engine = (*Client)(nil)

// Config configures a Client. The zero value is usable.
type Config struct {
	// Dial opens connections; nil uses TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout limits the opening of a connection; 0 means 2 s.
	DialTimeout time.Duration
	// ReportTimeout limits a report in addition to the context; 0 means 2 s.
	// An order is limited only by its context, because the duration of a load
	// depends on the weight store.
	ReportTimeout time.Duration
}

// Client sends orders to model engines and reads their reports. Its methods
// may be called concurrently.
type Client struct {
	orders        *http.Client
	reports       *http.Client
	reportTimeout time.Duration
}

// orderResponse is the body of a response to POST /orders.
type orderResponse struct {
	Outcome tamarackknot.OrderOutcome `json:"outcome"`
	RetryAt time.Time                 `json:"retryAt"`
	Message string                    `json:"message"`
}

// NewClient returns a client.
func NewClient(cfg Config) *Client {
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.ReportTimeout <= 0 {
		cfg.ReportTimeout = defaultReportTimeout
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, cfg.DialTimeout)
		defer cancel()
		return cfg.Dial(ctx, network, address)
	}
	return &Client{
		// Each order uses a new connection. If the engine closed a reused one
		// while the order was sent, its outcome would be unknown.
		orders:        newHTTPClient(&http.Transport{DialContext: dial, DisableKeepAlives: true}),
		reports:       newHTTPClient(&http.Transport{DialContext: dial, IdleConnTimeout: idleConnTimeout, MaxIdleConnsPerHost: 1}),
		reportTimeout: cfg.ReportTimeout,
	}
}

func newHTTPClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport: &headcheck.Transport{Transport: t},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.orders.CloseIdleConnections()
	c.reports.CloseIdleConnections()
}

// Order sends an order and waits for its outcome until ctx ends. The outcome is
// OrderRefused only if no connection was used or the engine refused the order,
// and OrderUnknown whenever the order may have taken effect or may still do so.
func (c *Client) Order(ctx context.Context, address string, o tamarackknot.Order) tamarackknot.OrderResult {
	body, err := json.Marshal(o)
	if err != nil {
		return refused(err)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		return refused(err)
	}
	req.GetBody = nil // prevents net/http from retrying the order
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.orders.Do(req)
	if err != nil && !connected.Load() {
		return refused(err)
	}
	if err != nil {
		return unknown(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readOrder(resp)
}

// readOrder returns the outcome in a response. It is OrderUnknown if the response
// is not a valid response of an engine.
func readOrder(resp *http.Response) tamarackknot.OrderResult {
	data, err := readBody(resp)
	if err != nil {
		return unknown(err)
	}
	if resp.Header.Get("Run") == "notRun" {
		return refused(fmt.Errorf("engine did not start the order: status %d", resp.StatusCode))
	}
	var r orderResponse
	if err := json.Unmarshal(data, &r); err != nil {
		return unknown(errors.Wrapf(err, "engine responded with status %d", resp.StatusCode))
	}
	switch r.Outcome {
	case tamarackknot.OrderDone:
		if resp.StatusCode != http.StatusOK {
			return unknown(fmt.Errorf("engine responded with status %d although the order is done", resp.StatusCode))
		}
	case tamarackknot.OrderRefused, tamarackknot.OrderStaleFence, tamarackknot.OrderNoMemory, tamarackknot.OrderStoreBusy:
	default:
		return unknown(fmt.Errorf("engine responded with status %d and outcome %q: %s", resp.StatusCode, r.Outcome, r.Message))
	}
	return tamarackknot.OrderResult{Outcome: r.Outcome, RetryAt: r.RetryAt, Message: r.Message}
}

// Report reads the report of the engine at an address.
func (c *Client) Report(ctx context.Context, address string) (tamarackknot.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.reportTimeout)
	defer cancel()
	var r tamarackknot.Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/report", nil)
	if err != nil {
		return r, errors.Wrapf(err, "report of engine %s", address)
	}
	resp, err := c.reports.Do(req)
	if err != nil {
		return r, errors.Wrapf(err, "report of engine %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := readBody(resp)
	if err != nil {
		return r, errors.Wrapf(err, "report of engine %s", address)
	}
	if resp.StatusCode != http.StatusOK {
		return r, fmt.Errorf("report of engine %s: status %d", address, resp.StatusCode)
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return tamarackknot.Report{}, errors.Wrapf(err, "report of engine %s", address)
	}
	return r, nil
}

func readBody(resp *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxResponseBytes {
		return nil, fmt.Errorf("response is longer than %d bytes", maxResponseBytes)
	}
	return data, nil
}

func refused(err error) tamarackknot.OrderResult {
	return tamarackknot.OrderResult{Outcome: tamarackknot.OrderRefused, Message: err.Error()}
}

func unknown(err error) tamarackknot.OrderResult {
	return tamarackknot.OrderResult{Outcome: tamarackknot.OrderUnknown, Message: err.Error()}
}
