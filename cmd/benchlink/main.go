// Command benchlink runs balancers for the external simulator (the bench), whose protocol it speaks on standard input and
// output.
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
