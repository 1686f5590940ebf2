// Command mustardtide routes language-model traffic with long shared prompts.
package main

import (
	"os"

	"github.com/mustardtide/mustardtide/internal/command/mttable"
)

func main() {
	os.Exit(mttable.Run(os.Args[1:]))
}
