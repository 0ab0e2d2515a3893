package main

import (
	"context"
	"io"
	"log"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/wagtailtray/wagtailtray/platform/standin"
)

// staleness is how old stale lists are: "may return data that is seconds old"; the small
// deployments have stale reads that are 5.5 to 6.9 s behind.
const staleness = 6 * time.Second

// staleStore passes all calls on to the store, but answers lists of the system's processes with
// allowStale as they were staleness ago.
type staleStore struct {
	server *http.Server
	list   string
	proxy  *httputil.ReverseProxy
	cancel context.CancelFunc

	mu    sync.Mutex
	views []view
}

// view is a list as it was at a time.
type view struct {
	at   time.Time
	body []byte
}

func startStaleStore(address, store netip.AddrPort) (*staleStore, error) {
	l, err := standin.ListenTCP(address)
	if err != nil {
		return nil, err
	}
	target := &url.URL{Scheme: "http", Host: store.String()}
	ctx, cancel := context.WithCancel(context.Background())
	s := &staleStore{
		list: target.String() + "/api/objects/processes", proxy: httputil.NewSingleHostReverseProxy(target), cancel: cancel,
	}
	s.proxy.ErrorLog = log.New(io.Discard, "", 0)
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	go s.watch(ctx)
	return s, nil
}

// watch keeps the lists of the last staleness.
func (s *staleStore) watch(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.list, nil)
		if err != nil {
			return
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil {
			continue
		}
		s.mu.Lock()
		s.views = append(s.views, view{at: time.Now(), body: body})
		for len(s.views) > 1 && time.Since(s.views[1].at) > staleness {
			s.views = s.views[1:]
		}
		s.mu.Unlock()
	}
}

// ServeHTTP answers one call.
func (s *staleStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/api/objects/processes" || !r.URL.Query().Has("allowStale") {
		s.proxy.ServeHTTP(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.views) == 0 {
		http.Error(w, "no list yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(s.views[0].body)
}

func (s *staleStore) close() {
	s.cancel()
	_ = s.server.Close()
}
