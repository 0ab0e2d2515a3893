package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

const (
	apiPath = "/apis/wagtailtray/v1/"
	// callTimeout bounds one call. The service responds in milliseconds; a
	// slow one must not delay a planned stop for long.
	callTimeout = 3 * time.Second
	// maxResponseSize bounds how much of a response is read, in bytes.
	maxResponseSize = 64 << 20
	// maxIdleConns is how many idle connections are kept: a process makes few calls.
	maxIdleConns = 2
)

// Client is a Store over HTTP.
type Client struct {
	baseURL string
	client  *http.Client
}

// NewClient returns a client for the service at an IP address and port.
func NewClient(address string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{baseURL: "http://" + address + apiPath, client: &http.Client{Transport: transport}}
}

// Get returns an object.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	var o Object
	err := c.read(ctx, string(kind)+"/"+name, &o)
	return o, err
}

// List returns all objects of a kind.
func (c *Client) List(ctx context.Context, kind Kind) (List, error) {
	var l List
	err := c.read(ctx, string(kind), &l)
	return l, err
}

// Create creates an object.
func (c *Client) Create(ctx context.Context, kind Kind, name string, spec any) (Object, error) {
	data, err := json.Marshal(spec)
	if err != nil {
		return Object{}, errs.Wrap(err)
	}
	o := Object{Metadata: Metadata{Name: name}, Spec: data}
	return c.write(ctx, http.MethodPost, string(kind), o)
}

// Update replaces an object if its resource version is still that of o.
func (c *Client) Update(ctx context.Context, kind Kind, o Object) (Object, error) {
	return c.write(ctx, http.MethodPut, string(kind)+"/"+o.Metadata.Name, o)
}

// Delete deletes an object if its resource version is still that of o.
func (c *Client) Delete(ctx context.Context, kind Kind, o Object) error {
	path := fmt.Sprintf("%s/%s?resourceVersion=%d", kind, o.Metadata.Name, o.Metadata.ResourceVersion)
	_, err := c.write(ctx, http.MethodDelete, path, o)
	return err
}

func (c *Client) read(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return errs.Combine(ErrUnavailable, err)
	}
	defer func() { _ = res.Body.Close() }()
	if err := statusError(res, ErrUnavailable); err != nil {
		return err
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseSize)).Decode(into); err != nil {
		return errs.Combine(ErrUnavailable, err)
	}
	return nil
}

func (c *Client) write(ctx context.Context, method, path string, o Object) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := json.Marshal(o)
	if err != nil {
		return Object{}, errs.Wrap(err)
	}
	res, err := c.send(ctx, method, path, data)
	if err != nil {
		return Object{}, errs.Combine(writeError(err), err)
	}
	defer func() { _ = res.Body.Close() }()
	if err := statusError(res, ErrUnknown); err != nil {
		return Object{}, err
	}
	var out Object
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseSize)).Decode(&out); err != nil {
		return Object{}, errs.Combine(ErrUnknown, err)
	}
	return out, nil
}

// writeError returns ErrUnavailable if a write cannot have taken effect, which is
// certain only if no connection was established, and ErrUnknown otherwise.
func writeError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED) {
		return ErrUnavailable
	}
	return ErrUnknown
}

func (c *Client) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return c.client.Do(req)
}

// statusError maps a response status to an error. An unavailable service has written
// nothing; after any other server error the write may have taken effect.
func statusError(res *http.Response, server error) error {
	switch res.StatusCode {
	case http.StatusOK, http.StatusCreated:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		if res.Request.Method == http.MethodPost {
			return ErrExists
		}
		return ErrConflict
	case http.StatusGone:
		return ErrGone
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrUnavailable
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return ErrInvalid
	default:
		return server
	}
}

// Watch streams the changes of a kind.
func (c *Client) Watch(ctx context.Context, kind Kind, after uint64, each func(Event) error) error {
	res, err := c.send(ctx, http.MethodGet, fmt.Sprintf("%s?watch=1&resourceVersion=%d", kind, after), nil)
	if err != nil {
		return errs.Combine(ErrUnavailable, err)
	}
	defer func() { _ = res.Body.Close() }()
	if err := statusError(res, ErrUnavailable); err != nil {
		return err
	}
	decoder := json.NewDecoder(res.Body)
	for {
		var e Event
		if err := decoder.Decode(&e); err != nil {
			return errs.Combine(ErrUnavailable, err)
		}
		if e.Type == Failed {
			return ErrGone
		}
		if err := each(e); err != nil {
			return err
		}
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.client.CloseIdleConnections()
}
