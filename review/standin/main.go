package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	record := flag.String("record", "record.txt", "the record to write")
	flag.Parse()
	cases := map[string]func(){
		"poison-event": func() { poison("event") }, "poison-head": func() { poison("head") },
		"stop": stopCase, "restored": restoredCase, "refused": refusedCase, "unsealed": unsealedCase,
	}
	run := cases[flag.Arg(0)]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	setUp(*record)
	run()
}
