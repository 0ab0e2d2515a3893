package directory

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

// FuzzEntry gives the decoder what another writer may store beside balancers. An entry that
// no balancer writes must not be taken for one: its address would be sent flows.
func FuzzEntry(f *testing.F) {
	valid := `{"name":"b1","address":"10.0.0.1:7000","domain":"d"}`
	for _, spec := range []string{
		"", "{", "null", "[]", "7", "\xff\xfe", valid, `{"name":"b1","address":"10.0.0.1:7000"}`,
		`{"name":"b1","domain":"d"}`, `{"address":"10.0.0.1:7000","domain":"d"}`, `{"name":"b2","address":"10.0.0.1:7000","domain":"d"}`,
		`{"name":"b1","address":"10.0.0.1:0","domain":"d"}`, `{"name":"b1","address":"[::1]:7000","domain":"d"}`,
		`{"name":"b1","address":7000,"domain":"d"}`, `{"name":"b1","address":"10.0.0.1:7000","domain":["d"]}`,
		`{"name":"b1","address":"10.0.0.1:7000","domain":"d","share":-1}`,
	} {
		f.Add([]byte(spec))
	}
	f.Fuzz(func(t *testing.T, spec []byte) {
		e, ok := parseEntry(platform.Object{Metadata: platform.Metadata{Name: "b1"}, Spec: spec})
		complete := e.Name == "b1" && e.Domain != "" && e.Address.Addr().Is4() && e.Address.Port() != 0
		if ok != complete || string(spec) == valid && !ok {
			t.Errorf("%s: parsed as %+v, valid %v", spec, e, ok)
		}
	})
}
