package settings

import (
	"strings"
	"testing"
	"time"
)

const sampleGateway = `name = "edge-1"
zone = "a"
[listen]
caller = "10.0.0.1:80"
ready = "10.0.0.1:81"
peer = "10.0.0.1:82"
[store]
address = "10.0.0.9:90"
[stop]
limit = "8s"
`

func TestParseGateway(t *testing.T) {
	got, err := ParseGateway([]byte(sampleGateway))
	if err != nil {
		t.Fatal(err)
	}
	if got.Name != "edge-1" || got.Store.WatchInterval != Duration(defaultPace) {
		t.Errorf("got %+v, want the file's name and the default pace", got)
	}
	if limit := time.Duration(got.Stop.Timeout); limit >= 8*time.Second || limit < 7*time.Second {
		t.Errorf("got %v until requests are cut, want the limit less the time that the exit takes", limit)
	}
}

func TestParseGatewayNamesEveryProblem(t *testing.T) {
	tests := []struct{ name, content, want string }{
		{"no name", strings.Replace(sampleGateway, `"edge-1"`, `""`, 1), "name"},
		{"no port", strings.Replace(sampleGateway, "10.0.0.1:81", "10.0.0.1", 1), "listen.ready"},
		{"no store", strings.Replace(sampleGateway, "10.0.0.9:90", "", 1), "store.address"},
		{"too short a stop", strings.Replace(sampleGateway, "8s", "4s", 1), "stop.limit"},
		{"a time without a unit", strings.Replace(sampleGateway, `"8s"`, `"8"`, 1), "line 10"},
		{"an unknown key", sampleGateway + "late = 1\n", "late"},
		{"an unknown level", sampleGateway + "[log]\nlevel = \"loud\"\n", "log.level"},
	}
	for _, test := range tests {
		_, err := ParseGateway([]byte(test.content))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got %v, want a problem with %s", test.name, err, test.want)
		}
	}
}
