package capacity

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/pkg/key"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// syncedHandler answers comparisons like a balancer whose tables are the same as the
// caller's.
type syncedHandler struct{}

func (syncedHandler) Handle(context.Context, control.Method, json.RawMessage) (any, error) {
	return &wire.Synced{Version: 9999, Digest: 1 << 60}, nil
}

func callTime(n int) (float64, error) {
	var t float64
	err := withServer(func(address netip.AddrPort, client *control.Client) error {
		var err error
		t, err = cpuTimeOf(func() error { return callRepeatedly(n, address, client) })
		return err
	})
	return t, err
}

func callRepeatedly(n int, address netip.AddrPort, client *control.Client) error {
	for range n {
		var reply wire.Synced
		request := &wire.Sync{From: "norte-matosinhos-070", Version: 9999, Digest: 1 << 60}
		if err := client.Call(context.Background(), address, control.Sync, request, &reply); err != nil {
			return err
		}
	}
	return nil
}

func withServer(do func(netip.AddrPort, *control.Client) error) error {
	ring, err := key.Parse(testKey)
	if err != nil {
		return err
	}
	server, err := control.Serve(context.Background(), loopbackAnyPort, ring, syncedHandler{})
	if err != nil {
		return err
	}
	defer server.Close()
	client, err := control.NewClient(ring)
	if err != nil {
		return err
	}
	defer client.Close()
	if err := callRepeatedly(1, server.Address(), client); err != nil {
		return err
	}
	return do(server.Address(), client)
}

func callBytes(n int) (float64, error) {
	var count float64
	err := withServer(func(address netip.AddrPort, client *control.Client) error {
		proxy, err := newCountingProxy(address)
		if err != nil {
			return err
		}
		defer proxy.close()
		if err := callRepeatedly(1, proxy.address, client); err != nil {
			return err
		}
		before := proxy.bytes.Load()
		err = callRepeatedly(n, proxy.address, client)
		count = float64(proxy.bytes.Load() - before)
		return err
	})
	return count, err
}

func connectionBytes(n int) (float64, error) {
	var growth float64
	err := withServer(func(address netip.AddrPort, _ *control.Client) error {
		ring, err := key.Parse(testKey)
		if err != nil {
			return err
		}
		var clients []*control.Client
		growth, err = memoryGrowth(func() (any, error) {
			for range n {
				c, err := control.NewClient(ring)
				if err != nil {
					return nil, err
				}
				clients = append(clients, c)
				if err := callRepeatedly(1, address, c); err != nil {
					return nil, err
				}
			}
			time.Sleep(100 * time.Millisecond)
			return clients, nil
		})
		for _, c := range clients {
			c.Close()
		}
		return err
	})
	return growth, err
}
