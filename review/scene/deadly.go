//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mustardtide/mustardtide/platform/standin/mtstore"
)

func init() { scenes["deadly-request"] = deadlyRequest }

// Of the scene: how long the engines are away after a crash, the requests that crash them, how often
// each comes, and the shared parts of its prompt, those of a long conversation.
const (
	awayTime      = 2 * time.Second
	deadlyCount   = 2
	deadlyGap     = 2 * time.Second
	deadlyParts   = 200
	deadlyPath    = "/stream/deadly"
	retriesAfter  = 3
	stableWindow  = 3 * time.Second
	crashesBefore = 3
)

// deadlyRequest lets requests come again and again, with the same path, caller and body, that crash
// each engine that begins to run them.
func deadlyRequest(f *fleet, trouble bool) (bool, error) {
	parts := deadlyParts
	if n, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		parts = n
	}
	f.store.Put(mtstore.Config, "main", fmt.Sprintf(
		`{"version":7,"routes":[{"name":"stream","host":%q,"path_prefix":"/stream/","kind":"streaming","timeout_ms":6000,"target_latency_ms":800,"priority":1,"backends":[{"service":"pool","weight":100}],"max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_target_ms":250}],"services":[{"name":"pool","max_connections":290,"health_path":"/health","engine":{"slots":48,"kv_capacity":70000,"models":[{"name":%q}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"school","api_keys":[%q],"priority":1,"isolated":false}]}`,
		host, model, key))
	f.store.Put(mtstore.Weights, model, fmt.Sprintf(`{"model":%q,"version":1}`, model))
	var engines []*engine
	for i := range 9 {
		e, err := f.newEngine(fmt.Sprintf("i-%d", i), "pool", model, f.ip(2, i+1)+":8785")
		if err != nil {
			return false, err
		}
		e.down = awayTime
		if trouble {
			e.deadly = deadlyPath
		}
		e.list("ready")
		engines = append(engines, e)
		if _, err := f.start(fmt.Sprintf("side-%d", i), "sidecar", f.ip(2, i+1), e.address, "pool"); err != nil {
			return false, err
		}
	}
	var ips []string
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for i := range 4 {
		ips = append(ips, f.ip(4, i+1))
		if _, err := f.start(fmt.Sprintf("front-%d", i), "entry", ips[i], "", ""); err != nil {
			return false, err
		}
	}
	for _, ip := range ips {
		if err := awaitReady(ctx, ip); err != nil {
			return false, err
		}
	}
	c := newCallers(f, ips)
	const lasts = 40 * time.Second
	flooded := make(chan struct{})
	go func() { c.flood("/stream/", 20, 20, lasts, 6*time.Second); close(flooded) }()
	time.Sleep(5 * time.Second)
	for n := range deadlyCount {
		var list []string
		for i := range parts {
			list = append(list, fmt.Sprintf("%x%04x:30", 13+n, i))
		}
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			time.Sleep(time.Duration(n) * deadlyGap / deadlyCount)
			for i := range int((lasts - 10*time.Second) / deadlyGap) {
				c.wait.Add(1)
				go func() {
					defer c.wait.Done()
					c.send(ips[(i*deadlyCount+n)%len(ips)], fmt.Sprintf("deadly%d-%02d", n, i), fmt.Sprintf("%s%d", deadlyPath, n), "the same body", fmt.Sprintf("%d,20", 30*parts+50), strings.Join(list, ",")+",ee:50", 6*time.Second)
				}()
				time.Sleep(deadlyGap)
			}
		}()
	}
	<-flooded
	c.wait.Wait()
	return f.judgeDeadly(engines, c)
}

// judgeDeadly applies the rule: a request that crashes the engines that run it reaches engines in no
// more than three retries later than stable_window_ms after it has crashed the third.
func (f *fleet) judgeDeadly(engines []*engine, c *callers) (bool, error) {
	wrong := false
	for n := range deadlyCount {
		path := fmt.Sprintf("%s%d", deadlyPath, n)
		var crashes, runs []time.Time
		for _, e := range engines {
			crashes = append(crashes, e.crashes[path]...)
			for _, r := range e.runs {
				if r.path == path {
					runs = append(runs, r.at)
				}
			}
		}
		slices.SortFunc(crashes, time.Time.Compare)
		late := 0
		if len(crashes) >= crashesBefore {
			for _, at := range runs {
				if at.After(crashes[crashesBefore-1].Add(stableWindow)) {
					late++
				}
			}
		}
		verdict := "held"
		if late > retriesAfter {
			wrong, verdict = true, "BUDGET broken"
		}
		f.record.say("%s: %s reached engines %d times, crashed %d, and %d times later than %v after the third crash", verdict, path, len(runs), len(crashes), late, stableWindow)
		fmt.Printf("%s: %s reached engines %d times, crashed %d, and %d times later than %v after the third crash\n", verdict, path, len(runs), len(crashes), late, stableWindow)
	}
	served, others := 0, 0
	for _, a := range c.answers {
		if strings.HasPrefix(a.id, "deadly") {
			continue
		}
		others++
		if a.status == 200 && a.err == nil {
			served++
		}
	}
	f.record.say("others: sent %d, served %d", others, served)
	fmt.Printf("others: sent %d, served %d\n", others, served)
	if served == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return wrong, nil
}
