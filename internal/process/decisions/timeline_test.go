package decisions

import (
	"strings"
	"testing"
)

// A caller waited because its failure domain was evacuated and no relay had reported targets
// of other domains. The timeline of its flow must show both.
func TestTimelineOfEvacuation(t *testing.T) {
	lines, err := ReadLines(strings.NewReader(`{"process":"b1","event":"evacuation","name":"d1","reason":"evacuated","version":56,"time":1000}
{"process":"b1","event":"waits","flow":"10.0.0.1:9>198.18.0.1:443","reason":"evacuated","time":1200}
{"process":"b1","event":"relay","relaying":true,"time":1300}
{"process":"b2","event":"evacuation","name":"d1","reason":"evacuated","version":56,"time":1000}
`))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	if err := WriteTimeline(&got, Timeline(lines, "10.0.0.1:9")); err != nil {
		t.Fatal(err)
	}
	want := `   +0.000 b1                   evacuation   name=d1 reason="evacuated" version=56
   +0.200 b1                   waits        flow=10.0.0.1:9>198.18.0.1:443 reason="evacuated"
   +0.300 b1                   relay        relaying=true
`
	if got.String() != want {
		t.Errorf("got\n%swant\n%s", got.String(), want)
	}
}
