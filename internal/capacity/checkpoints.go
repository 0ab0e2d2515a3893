package capacity

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// maxCheckpointWrites is how many writes a second checkpoints may make: a tenth
	// of the several hundred that the platform takes.
	maxCheckpointWrites = 40
	// maxValueBytes is the largest value that the platform stores.
	maxValueBytes = 1 << 20
	// callersPerNetwork is how many callers share a network of 256 addresses.
	callersPerNetwork = 256
)

// checkpointUsage is what the checkpoints of one failure domain take up in the
// platform's store. storedFlows is how many flows they hold.
type checkpointUsage struct {
	targets, flowsPerTarget float64
	objects                 int
	bytes                   int
	storedFlows             int
	writeInterval           clock.Millis
}

// measureCheckpoints has a keeper produce the checkpoints of one failure domain of
// a deployment of size s once.
func measureCheckpoints(s Size) checkpointUsage {
	k := checkpoint.NewKeeper(checkpoint.KeeperSettings{MaxValueSize: maxValueBytes, FlowTTL: clock.Minute, WritesPerSecond: maxCheckpointWrites})
	k.SetDomainCount(domains)
	out := checkpointUsage{targets: s.Targets / domains, flowsPerTarget: s.Flows / s.Targets}
	next := 0
	for i := range int(out.targets) {
		agent := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		e := checkpoint.Entry{Agent: agent, Service: "service", Born: 1_800_000_000_000, Writer: 1_800_000_000_000}
		for range int(out.flowsPerTarget) {
			e.Flows = e.Flows.Append(checkpoint.Flow{ID: checkpointFlow(next)})
			next++
		}
		for _, part := range checkpoint.NewSender().Parts(&e) {
			// No error to expect: the parts come from a Writer.
			_ = k.Receive(0, 0, agent, part)
		}
	}
	for _, sheet := range k.Due(0) {
		data, err := json.Marshal(sheet)
		if err != nil {
			panic(err)
		}
		out.objects++
		out.bytes += len(data)
		for i := range sheet.Entries {
			out.storedFlows += sheet.Entries[i].Flows.Len()
		}
	}
	out.writeInterval = k.WriteInterval()
	return out
}

// checkpointFlow returns the i'th flow. Callers are spread over networks and ports.
func checkpointFlow(i int) segment.Flow {
	network := i / callersPerNetwork
	caller := netip.AddrFrom4([4]byte{100, 64 + byte(network>>8), byte(network), byte(i)})
	return segment.Flow{
		Caller:   netip.AddrPortFrom(caller, uint16(1024+i%60_000)),
		Listener: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i % 4), 1}), 443),
	}
}

// writeCheckpoints writes the section about open flows in the platform's store.
func writeCheckpoints(b *strings.Builder) {
	const bytesPerMB, millisPerSecond = 1e6, 1000.0
	s := PlannedSize
	k := measureCheckpoints(s)
	pause := float64(k.writeInterval) / millisPerSecond
	fmt.Fprintf(b, "## Open flows in the platform's store\n\n")
	fmt.Fprintf(b, "Flows that are connections only; see design/checkpoints.md. Worked out by running the decisions for one failure domain of %.0f targets with %.0f flows each.\n\n", k.targets, k.flowsPerTarget)
	fmt.Fprintf(b, "| part | at the size of two years |\n| --- | --- |\n")
	fmt.Fprintf(b, "| objects of a failure domain | %d, of %.2f MB on the mean |\n", k.objects, float64(k.bytes)/float64(k.objects)/bytesPerMB)
	fmt.Fprintf(b, "| flows in them | %.0f %%, those that were used last |\n", 100*float64(k.storedFlows)/(k.targets*k.flowsPerTarget))
	fmt.Fprintf(b, "| pause between two writes of all of them | %.0f s |\n", pause)
	fmt.Fprintf(b, "| writes of all failure domains | %.2f/s of %d/s that checkpoints may make |\n", float64(k.objects)*domains/pause, maxCheckpointWrites)
	fmt.Fprintf(b, "| bytes written by a keeper | %.0f B/s, %.0f B/s for each of its targets |\n", float64(k.bytes)/pause, float64(k.bytes)/pause/k.targets)
	fmt.Fprintf(b, "| memory of a keeper for flows | %.2f MB |\n", float64(k.storedFlows)*16/bytesPerMB)
	fmt.Fprintf(b, "| flows opened in one pause, of those open | %.0f %% |\n\n", 100*s.NewFlowsPerSecond*pause/s.Flows)
	b.WriteString("A caller whose flow is not kept finds out by its next packet, as without checkpoints.\n\n")
}
