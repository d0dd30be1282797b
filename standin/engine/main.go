package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/fake/fakeengine"
)

func main() {
	var config fakeengine.Config
	listen := flag.String("listen", "127.0.0.1:7100", "host and port to listen on")
	flag.StringVar(&config.Name, "name", "engine", "name of the backend server")
	flag.StringVar(&config.Kind, "kind", "a", "kind of accelerator")
	flag.IntVar(&config.First, "first", 0, "first layer")
	flag.IntVar(&config.Last, "last", 8, "layer after the last one")
	flag.StringVar(&config.Version, "version", "v1", "version of the model")
	flag.DurationVar(&config.LayerTime, "layer-time", 500*time.Microsecond, "time of one layer in one step")
	flag.DurationVar(&config.PrefillTime, "prefill-time", 10*time.Microsecond, "time of one layer for one prefilled token")
	flag.DurationVar(&config.ImportTime, "import-time", time.Microsecond, "time to import one layer of one token's KV cache")
	flag.IntVar(&config.MaxPrefixes, "prefixes", 64, "maximum number of prompt prefixes in the cache")
	flag.DurationVar(&config.EventLag, "event-lag", time.Second, "time until a cache event is reported")
	flag.IntVar(&config.DropEveryNthEvent, "event-gap", 0,
		"lose each cache event whose sequence number is a multiple of this; 0 loses none")
	flag.DurationVar(&config.LinkLatency, "link-time", time.Millisecond, "time that an activation takes to reach the next stage")
	flag.IntVar(&config.Slots, "slots", 16, "maximum number of activations and chunks of prefill in one step")
	flag.DurationVar(&config.LoadLag, "lag", time.Second, "minimum age of the reported load")
	flag.BoolVar(&config.ChecksFence, "checks-fence", false, "refuse orders with a lower fencing token than an earlier one")
	flag.Parse()
	server := &http.Server{Addr: *listen, Handler: fakeengine.New(config)}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintf(os.Stderr, "engine: %v\n", err)
		os.Exit(1)
	}
}
