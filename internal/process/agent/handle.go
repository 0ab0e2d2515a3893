package agent

import (
	"context"
	"encoding/json"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// Handle handles calls of balancers and peers.
func (a *Agent) Handle(_ context.Context, method control.Method, params json.RawMessage) (any, error) {
	switch method {
	case control.Ping:
		return &wire.Empty{}, nil
	case control.Keep:
		r, err := control.DecodeParams[wire.Keep](params)
		if err != nil {
			return nil, err
		}
		return &wire.Empty{}, a.handleKeep(r)
	case control.Take:
		r, err := control.DecodeParams[wire.Take](params)
		if err != nil {
			return nil, err
		}
		return a.handleTake(r), nil
	default:
		return nil, control.ErrUnknownMethod
	}
}
