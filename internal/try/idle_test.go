package try

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/standin/exchange"
)

// A caller sends a lost datagram again after a pause that doubles each time. The trial must
// not let its flow end as idle while both ends of the connection still keep it.
func TestFlowsOutlastPausesOfCallers(t *testing.T) {
	if idle < exchange.Idle {
		t.Errorf("flows are over after %s, connections after %s", idle, exchange.Idle)
	}
}
