//go:build review

// Command scene plays one case of the review: the project's daemons as processes, with stand-ins
// of the platform, its engines and its callers in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a scene.
const (
	held   = 0
	broken = 1
	failed = 2
)

// scene plays a case, with or without its disruption, and reports whether the rule was broken.
type scene func(f *fleet, trouble bool) (bool, error)

// scenes are registered by the files that play them.
var scenes = map[string]scene{}

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	if len(args) != 3 || scenes[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene NAME PROGRAM RECORD")
		return failed
	}
	rec, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer rec.close()
	f, err := newFleet(args[1], rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		f.close()
		os.Exit(failed)
	}()
	wrong, err := scenes[args[0]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		rec.say("could not run: %v", err)
		return failed
	case wrong:
		return broken
	default:
		return held
	}
}
