//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/mustardtide/mustardtide/platform/standin/mtstore"
)

// model is the one that both services run.
const model = "m0"

// outage is how long the store is down where it is.
const outage = 6 * time.Second

func init() { scenes["reused-address"] = reusedAddress }

// reusedAddress lets an engine crash for good and another service's engine start at its address,
// no sooner than reuse_after_s later, as the platform does.
func reusedAddress(f *fleet, trouble bool) (bool, error) {
	route := func(name, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":"/%s/","kind":"streaming","timeout_ms":6000,"target_latency_ms":800,"priority":1,"backends":[{"service":%q,"weight":100}],"max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_target_ms":250}`, name, host, name, service)
	}
	service := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"max_connections":290,"health_path":"/health","engine":{"slots":16,"kv_capacity":70000,"models":[{"name":%q}]}}`, name, model)
	}
	f.store.Put(mtstore.Config, "main", fmt.Sprintf(
		`{"version":7,"routes":[%s,%s],"services":[%s,%s],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"school","api_keys":[%q],"priority":1,"isolated":false}]}`,
		route("chat", "chat-pool"), route("batch", "batch-pool"), service("chat-pool"), service("batch-pool"), key))
	f.store.Put(mtstore.Weights, model, fmt.Sprintf(`{"model":%q,"version":1}`, model))
	var engines []*engine
	down := os.Getenv("OUTAGE") == "1"
	pools, perSecond := []string{"chat-pool", "batch-pool"}, 8
	if down {
		pools, perSecond = append(pools, "chat-pool"), 15
	}
	for i, name := range pools {
		e, err := f.newEngine(fmt.Sprintf("i-first%d", i), name, model, f.ip(2, i+1)+":8785")
		if err != nil {
			return false, err
		}
		e.list("ready")
		engines = append(engines, e)
		if _, err := f.start(fmt.Sprintf("side-%d", i), "sidecar", f.ip(2, i+1), e.address, name); err != nil {
			return false, err
		}
	}
	ips := []string{f.ip(4, 1), f.ip(4, 2)}
	for i, ip := range ips {
		if _, err := f.start(fmt.Sprintf("front-%d", i), "entry", ip, "", ""); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, ip := range ips {
		if err := awaitReady(ctx, ip); err != nil {
			return false, err
		}
	}
	c := newCallers(f, ips)
	flooded := make(chan struct{})
	go func() { c.flood("/chat/", perSecond, 13, 16*time.Second, 6*time.Second); close(flooded) }()
	time.Sleep(5 * time.Second)
	if trouble {
		heir, err := f.reuseAddress(engines[0], down)
		if err != nil {
			return false, err
		}
		engines = append(engines, heir)
	}
	<-flooded
	c.wait.Wait()
	return f.judgeRoutes(engines, map[string]string{"/chat/": "chat-pool", "/batch/": "batch-pool"}, c)
}

// reuseAddress lets an engine crash, and starts one of the other service at its address. Its entry is
// written at once; with down, the store is silent from the crash on, and the entry comes when it is
// back.
func (f *fleet) reuseAddress(gone *engine, down bool) (*engine, error) {
	f.record.say("engine %s crashes for good", gone.id)
	gone.server.crash()
	crashed := time.Now()
	lapse := 3 * heartbeat
	if down {
		lapse = outage
		f.record.say("the store is down")
		f.store.Silence(true)
	}
	time.Sleep(reuse + 100*time.Millisecond)
	heir, err := f.newEngine("i-second", "batch-pool", model, gone.address)
	if err != nil {
		return nil, err
	}
	if !down {
		heir.list("ready")
	}
	if err := f.rewrite("side-0", "chat-pool", "batch-pool"); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(crashed.Add(lapse)))
	f.store.Delete(mtstore.Targets, gone.id)
	f.record.say("the entry of engine %s lapses", gone.id)
	if down {
		heir.list("ready")
		f.store.Silence(false)
		f.record.say("the store is back")
	}
	return heir, nil
}

// judgeRoutes applies the rule: a request is run by a service to which no configuration ever sent
// allows it to go.
func (f *fleet) judgeRoutes(engines []*engine, services map[string]string, c *callers) (bool, error) {
	wrong, ran := 0, 0
	for _, e := range engines {
		for _, r := range e.runs {
			ran++
			for prefix, service := range services {
				if strings.HasPrefix(r.path, prefix) && service != e.service {
					wrong++
					f.record.say("ROUTE broken: request %s %s was run by %s of service %s", r.id, r.path, e.id, e.service)
				}
			}
		}
	}
	served := 0
	for _, a := range c.answers {
		if a.status == 200 && a.err == nil {
			served++
		}
	}
	f.record.say("sent %d, served %d, run %d, run by a wrong service %d", len(c.answers), served, ran, wrong)
	fmt.Printf("sent %d, served %d, run %d, run by a wrong service %d\n", len(c.answers), served, ran, wrong)
	if served == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return wrong > 0, nil
}
