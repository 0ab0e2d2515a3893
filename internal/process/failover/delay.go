package failover

import "github.com/wagtailtray/wagtailtray/pkg/clock"

// MaxDelay is the delay that balancers of low rank approach. The platform may serve any of
// them, and that one must have a new version in time.
const MaxDelay = 800 * clock.Millis(1)

// Delay returns how long a balancer leaves a role to a number of balancers of higher rank that
// do not hold it either.
func Delay(higher int) clock.Millis {
	return MaxDelay * clock.Millis(higher) / clock.Millis(higher+3)
}
