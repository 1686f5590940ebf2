// Command stage plays one case of the review against the project's own programs.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: stage CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	cases := map[string]func(*stage, bool) (broken string){"wall": wall, "refused": refused, "crowd": crowd, "keys": keys, "deadly": deadly}
	play := cases[os.Args[1]]
	if play == nil {
		fail(2, "no case %q", os.Args[1])
	}
	running = newStage(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	running.note("case %s, trouble %v", os.Args[1], trouble)
	if broken := play(running, trouble); broken != "" {
		fail(1, "broken: %s", broken)
	}
	fail(0, "held")
}
