// Command mustardtide-standin runs a stand-in for what is outside the system:
// the platform, a model engine or a plain service.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mustardtide/mustardtide/internal/standin/mtengine"
	"github.com/mustardtide/mustardtide/internal/standin/mtplatform"
	"github.com/mustardtide/mustardtide/internal/standin/mtservice"
)

const headerTime = 10 * time.Second

func main() {
	app := kingpin.New("mustardtide-standin", "Stand-ins for tests and demos.")
	listen := app.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").String()
	platform := app.Command("platform", "An object API with a list of instances.")
	members := platform.Flag("members", "Instances to list that do not run.").Int()
	churn := platform.Flag("churn", "Time between two changes of those.").Duration()
	engine := app.Command("engine", "A model engine.")
	slots := engine.Flag("slots", "Batch slots.").Default("8").Int()
	prefill := engine.Flag("prefill", "Prompt tokens computed a second.").Default("20000").Float64()
	decode := engine.Flag("decode", "Time between tokens.").Default("10ms").Duration()
	blocks := engine.Flag("blocks", "Cache blocks of 16 tokens.").Default("20000").Int()
	service := app.Command("service", "A plain service.")
	took := service.Flag("took", "Time of one call.").Default("5ms").Duration()
	load := app.Command("load", "Send a bounded load of nested prompts to an entry.")
	send := bindLoad(load)
	var handler http.Handler
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case platform.FullCommand():
		store := mtplatform.New()
		listMembers(store, *members, *churn)
		handler = store
	case engine.FullCommand():
		handler = mtengine.New(*slots, *prefill, *decode, *blocks)
	case service.FullCommand():
		handler = mtservice.New(*took)
	case load.FullCommand():
		send()
		return
	}
	server := &http.Server{Addr: *listen, Handler: handler, ReadHeaderTimeout: headerTime}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, "mustardtide-standin:", err)
		os.Exit(1)
	}
}
