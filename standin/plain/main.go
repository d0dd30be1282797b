package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/comfreyrail/comfreyrail/rail/fake/fakeservice"
)

func main() {
	var config fakeservice.Config
	listen := flag.String("listen", "127.0.0.1:7200", "host and port to listen on")
	flag.StringVar(&config.Name, "name", "plain", "name of the backend server")
	flag.Parse()
	server := &http.Server{Addr: *listen, Handler: fakeservice.New(config)}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintf(os.Stderr, "plain: %v\n", err)
		os.Exit(1)
	}
}
