//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/mustardtide/mustardtide/platform/standin/mtstore"
)

// otherModel is a second model that the same engines run.
const otherModel = "m1"

func init() { scenes["two-models"] = twoModels }

// twoModels names new weights of both models of a pool of engines, one second after another.
func twoModels(f *fleet, trouble bool) (bool, error) {
	f.fencing = os.Getenv("FENCING") == "1"
	route := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":"/%s/","kind":"streaming","timeout_ms":6000,"target_latency_ms":800,"priority":1,"backends":[{"service":"pool","weight":100}],"max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_target_ms":250}`, name, host, name)
	}
	f.store.Put(mtstore.Config, "main", fmt.Sprintf(
		`{"version":7,"routes":[%s,%s],"services":[{"name":"pool","max_connections":290,"health_path":"/health","engine":{"slots":48,"kv_capacity":70000,"models":[{"name":%q},{"name":%q}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"school","api_keys":[%q],"priority":1,"isolated":false}]}`,
		route("first"), route("other"), model, otherModel, key))
	weights := func(model string, version int) {
		revision := f.store.Put(mtstore.Weights, model, fmt.Sprintf(`{"model":%q,"version":%d}`, model, version))
		f.record.say("version %d of %s is named, revision %d", version, model, revision)
	}
	weights(model, 1)
	weights(otherModel, 1)
	var engines []*engine
	for i := range 4 {
		e, err := f.newEngine(fmt.Sprintf("i-%d", i), "pool", model+","+otherModel, f.ip(2, i+1)+":8785")
		if err != nil {
			return false, err
		}
		e.list("ready")
		engines = append(engines, e)
		if _, err := f.start(fmt.Sprintf("side-%d", i), "sidecar", f.ip(2, i+1), e.address, "pool"); err != nil {
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
	first, other := newCallers(f, ips), newCallers(f, ips)
	other.model = otherModel
	flooded := make(chan struct{}, 2)
	const lasts = 30 * time.Second
	for path, c := range map[string]*callers{"/first/": first, "/other/": other} {
		go func() { c.flood(path, 10, 13, lasts, 6*time.Second); flooded <- struct{}{} }()
	}
	time.Sleep(5 * time.Second)
	if trouble {
		weights(otherModel, 2)
		time.Sleep(time.Second)
	}
	weights(model, 2)
	<-flooded
	<-flooded
	first.wait.Wait()
	other.wait.Wait()
	return f.judgeOrders(engines, first, other)
}

// judgeOrders applies the rule to orders: a lower fencing token after a higher one, where engines do
// not check it.
func (f *fleet) judgeOrders(engines []*engine, first, other *callers) (bool, error) {
	lower, orders, old := 0, 0, 0
	for _, e := range engines {
		var highest int64
		for _, o := range e.orders {
			orders++
			if o.fence < highest {
				lower++
				f.record.say("ONE broken: engine %s got an order of %s for %s version %d with fence %d after one with fence %d: %d",
					e.id, o.holder, o.model, o.version, o.fence, highest, o.status)
			}
			highest = max(highest, o.fence)
		}
		e.mu.Lock()
		if e.versions[otherModel] < 2 {
			old++
		}
		e.mu.Unlock()
	}
	for _, c := range []*callers{first, other} {
		served, refused := 0, 0
		for _, a := range c.answers {
			switch {
			case a.status == 200 && a.err == nil:
				served++
			case a.status == 503:
				refused++
			}
		}
		f.record.say("%s: sent %d, served %d, refused %d", c.model, len(c.answers), served, refused)
		fmt.Printf("%s: sent %d, served %d, refused %d\n", c.model, len(c.answers), served, refused)
		if served == 0 {
			return false, fmt.Errorf("nothing was served")
		}
	}
	f.record.say("orders %d, with a lower fence than before %d; engines that still have version 1 of %s: %d", orders, lower, otherModel, old)
	fmt.Printf("orders %d, with a lower fence than before %d; engines that still have version 1 of %s: %d\n", orders, lower, otherModel, old)
	if orders == 0 {
		return false, fmt.Errorf("no order was given")
	}
	return lower > 0, nil
}
