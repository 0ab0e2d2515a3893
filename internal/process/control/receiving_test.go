package control_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/pkg/key"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// wholeState answers with a configuration of 300 kB.
type wholeState struct{}

func (wholeState) Handle(context.Context, control.Method, json.RawMessage) (any, error) {
	return &wire.Synced{Version: 9, State: make([]byte, 225_000)}, nil
}

// relay copies what two connections send; the answers leave at 200 kB a second until so many
// bytes have passed, then the link falls silent.
func relay(t *testing.T, server netip.AddrPort, silentAfter int) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		client, err := l.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp4", server.String())
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(upstream, client) }()
		buf := make([]byte, 10_000)
		for passed := 0; passed < silentAfter; {
			n, err := upstream.Read(buf)
			if err != nil {
				return
			}
			_, _ = client.Write(buf[:n])
			passed += n
			time.Sleep(time.Duration(n) * time.Second / 200_000)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// A whole configuration takes longer over a busy link than a call may. Given up and asked for
// again, it would never arrive; once the link is silent the call must end.
func TestWholeStateArrivesOverBusyLink(t *testing.T) {
	t.Parallel()
	ring, err := key.Parse(key.Generate())
	if err != nil {
		t.Fatal(err)
	}
	s, err := control.Serve(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), ring, wholeState{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for _, silentAfter := range []int{1 << 20, 150_000} {
		client, err := control.NewClient(ring)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		startedAt := time.Now()
		var reply wire.Synced
		err = client.Call(ctx, relay(t, s.Address(), silentAfter), control.Sync, &wire.Sync{}, &reply)
		cancel()
		client.Close()
		took := time.Since(startedAt)
		switch arrives := silentAfter == 1<<20; {
		case arrives && (err != nil || reply.Version != 9):
			t.Errorf("version %d, %v after %v", reply.Version, err, took)
		case !arrives && (err == nil || took > 4*time.Second):
			t.Errorf("a silent link: %v after %v", err, took)
		}
	}
}
