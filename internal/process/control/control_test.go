package control_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/pkg/key"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

type syncHandler struct{}

func (syncHandler) Handle(_ context.Context, m control.Method, params json.RawMessage) (any, error) {
	if m != control.Sync {
		return nil, control.ErrUnknownMethod
	}
	r, err := control.DecodeParams[wire.Sync](params)
	if err != nil {
		return nil, err
	}
	return &wire.Synced{Version: r.Version}, nil
}

func callOnce(t *testing.T, address netip.AddrPort, keys string, m control.Method) (uint64, error) {
	ring, err := key.Parse(keys)
	if err != nil {
		t.Fatal(err)
	}
	c, err := control.NewClient(ring)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var reply wire.Synced
	err = c.Call(t.Context(), address, m, &wire.Sync{Version: 7}, &reply)
	return reply.Version, err
}

// During a key rotation a server signs with the new key and accepts the old one.
// Clients with either key are served; one with an unknown key is not, and gets no
// reply. A call that the server refuses is distinguished from one whose outcome is
// unknown.
func TestKeys(t *testing.T) {
	old, next := key.Generate(), key.Generate()
	ring, err := key.Parse(next + "," + old)
	if err != nil {
		t.Fatal(err)
	}
	s, err := control.Serve(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), ring, syncHandler{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for _, keys := range []string{next, old + "," + next} {
		if v, err := callOnce(t, s.Address(), keys, control.Sync); err != nil || v != 7 {
			t.Errorf("version %d, %v", v, err)
		}
	}
	if _, err := callOnce(t, s.Address(), key.Generate(), control.Sync); err == nil {
		t.Error("a client with an unknown key is served")
	}
	if _, err := callOnce(t, s.Address(), next, control.Ping); !errors.Is(err, control.ErrRefused) {
		t.Errorf("got %v, want ErrRefused", err)
	}
}

// A process calls more peers at once than it caches connections. An eviction that
// failed a call would make the process suspect a healthy peer.
func TestMorePeersThanCachedConnections(t *testing.T) {
	ring, err := key.Parse(key.Generate())
	if err != nil {
		t.Fatal(err)
	}
	const peers = 40
	client, err := control.NewClient(ring)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	results := make(chan error, 2*peers)
	for range peers {
		s, err := control.Serve(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), ring, slowHandler{})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		for range 2 {
			go func() {
				results <- client.Call(t.Context(), s.Address(), control.Ping, &wire.Empty{}, &wire.Empty{})
			}()
		}
	}
	for range 2 * peers {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// slowHandler replies after all calls have been sent.
type slowHandler struct{}

func (slowHandler) Handle(context.Context, control.Method, json.RawMessage) (any, error) {
	time.Sleep(200 * time.Millisecond)
	return &wire.Empty{}, nil
}
