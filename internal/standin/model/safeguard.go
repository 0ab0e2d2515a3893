package model

// SafeguardTest is a scenario that shows what a safeguard prevents.
type SafeguardTest struct {
	Disabled    Safeguard
	Description string
	// Violation names the count that is zero with the safeguard and not zero
	// without it.
	Violation string
	Scenario  string
}

// SafeguardTests returns one scenario for each safeguard. A test runs it with and
// without the safeguard.
func SafeguardTests() []SafeguardTest {
	return []SafeguardTest{
		{
			Search, "homes do not search for an earlier owner", "doubled",
			"world targets=5 balancers=4 jitter=3ms spread=500ms %s\nopen 200\nrun 6ms\nrestart t0 50ms\nrestart t1 50ms\nrun 300ms\nresend\nrun 20s\nverdict",
		},
		{
			HomePlacement, "the agent that an opening reaches places it, whichever target is its home", "doubled",
			"world targets=5 balancers=12 jitter=3ms spread=3s %s\nadd t9\nrun 4500ms\nopen 200\nrun 4ms\nresend\nrun 4ms\nresend\nrun 20s\nverdict",
		},
		{
			Incarnation, "agents accept envelopes addressed to others", "foreign",
			"world targets=3 balancers=3 %s\nopen 60\nrun 3s\nusurp t0 1500ms\nopen 40\nrun 20s\nverdict",
		},
		{
			Ledger, "a restarted agent starts without flows", "broken",
			"world targets=3 balancers=3 %s\nopen 60\nrun 3s\nrestart t0 100ms\nrun 20s\nverdict",
		},
		{
			WalkAll, "a datagram goes to one target only", "broken",
			"world targets=5 balancers=3 %s\nopen 100\nrun 3s\nadd t9\nbalancer forget\nrun 20s\nverdict",
		},
		{
			ConnectionIDs, "agents ignore connection IDs", "broken",
			"world targets=3 balancers=3 %s\nopen 30\nrun 3s\nmove 20\nrun 20s\nverdict",
		},
		{
			Draining, "a draining target accepts the openings placed on it", "late",
			"world targets=2 balancers=2 spread=20s %s\ndrain t0\nrun 4s\nopen 40\nrun 2s\nopen 40\nrun 20s\nverdict",
		},
		{
			PortChange, "balancers keep their port towards an owner that does not answer", "broken",
			"world targets=3 balancers=2 %s\nopen 60\nrun 3s\nforgetpaths t0\nrun 20s\nverdict",
		},
		{
			Joining, "targets open flows as soon as they start", "doubled",
			"world targets=0 balancers=6 seed=1 jitter=3ms spread=2s %s\nadd t7\nadd t8\nadd t9\nrun 700ms\nopen 200\nrun 4ms\nresend\nrun 4ms\nresend\nrun 5s\nopen 200\nrun 20s\nverdict",
		},
	}
}
