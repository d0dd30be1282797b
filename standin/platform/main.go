package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/comfreyrail/comfreyrail/rail/fake/fakekv"
)

func main() {
	var config fakekv.Config
	listen := flag.String("listen", "127.0.0.1:7000", "host and port to listen on")
	flag.Float64Var(&config.WriteRate, "writes", fakekv.DefaultWriteRate, "maximum rate of writes in calls per second")
	flag.Float64Var(&config.ReadRate, "reads", fakekv.DefaultReadRate, "maximum rate of reads in calls per second")
	flag.DurationVar(&config.ListLag, "lag", fakekv.DefaultListLag,
		"time until a new list of instances and backend servers becomes visible")
	flag.Parse()
	server := &http.Server{Addr: *listen, Handler: fakekv.New(config)}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintf(os.Stderr, "platform: %v\n", err)
		os.Exit(1)
	}
}
