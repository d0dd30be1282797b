package main

import (
	"os"

	"github.com/comfreyrail/comfreyrail/comfreyctl/internal/command"
)

func main() {
	os.Exit(command.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
