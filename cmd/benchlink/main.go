// Command benchlink runs balancers on the bench's wire, on standard input and output.
package main

import (
	"fmt"
	"os"

	"streamrail/internal/benchwire"
)

func main() {
	if err := benchwire.New(os.Stdin, os.Stdout).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
