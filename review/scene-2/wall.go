package main

import (
	"fmt"
	"time"
)

const model = "daka510000"

// catalog is a configuration with one streaming route.
func catalog(version int, tenants ...map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-query", "host": "query.example", "path_prefix": "/query/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 500, "priority": 0, "service": "llm", "max_attempts": 2, "public": false, "sticky": true, "resumable": false, "gap_target_ms": 250},
			map[string]any{"name": "r-post", "host": "post.example", "path_prefix": "/post/", "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "service": "app", "max_attempts": 2, "public": false, "sticky": false, "resumable": false},
		},
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/health", "max_connections": 620, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 128, "kv_capacity": 140000, "kv_token_bytes": 131072, "link_mbps": 550000.0, "moves": true, "backups": true, "max_in_flight": 12, "handle_s": 5.0, "models": []any{map[string]any{"name": model}}}},
			map[string]any{"name": "app", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}

func tenant(name, key string, isolated bool) map[string]any {
	return map[string]any{"name": name, "api_keys": []string{key}, "priority": 1, "isolated": isolated}
}

// ask sends one streaming request of a tenant whose prompt begins with a shared part.
func (s *stage) ask(p *process, id, key string, parts string) {
	response, body, err := send(p.front, "POST", "query.example", "/query/1", map[string]string{
		"Mustardtide-Attempt-Id": id, "Mustardtide-Model": model, "Mustardtide-Token-Count": "2500,20", "Mustardtide-Prompt-Prefix": parts,
		"Mustardtide-Deadline-Ms": "5000", "Authorization": "Bearer " + key,
	}, "prompt", 6*time.Second)
	if err != nil {
		s.note("answer %s: %v", id, err)
		return
	}
	s.note("answer %s: %d, %d bytes", id, response.StatusCode, len(body))
}

// wall makes a tenant isolated and lets another one send a prompt with the same shared part.
func wall(s *stage, trouble bool) string {
	// Version 7: nobody is isolated. Version 9: tenant "sese" is.
	s.store.put("config", "main", catalog(7, tenant("sese", "key-sese", !trouble), tenant("jeye", "key-jeye", false)))
	s.store.put("versions", model, map[string]any{"model": model, "version": 1})
	for i := 1; i <= 3; i++ {
		ip := fmt.Sprintf("%s.%d", s.net, 10+i)
		e := s.addEngine(fmt.Sprintf("i-llm%d", i), "llm", model, ip, 128)
		s.addProcess(fmt.Sprintf("side-%d", i), "sidecar", ip, e.address, 216)
	}
	entry := s.addProcess("front-1", "entry", s.net+".1", "", 284)
	s.awaitReady(entry, 15*time.Second)
	time.Sleep(3 * time.Second)
	for i := range 6 {
		s.ask(entry, fmt.Sprintf("before-%d", i), "key-sese", fmt.Sprintf("5c1e07a2:1200,91bd3f06:1000,%08x:300", i+1))
		time.Sleep(100 * time.Millisecond)
	}
	s.store.put("config", "main", catalog(9, tenant("sese", "key-sese", true), tenant("jeye", "key-jeye", false)))
	applied := time.Now()
	s.note("version 9 acknowledged: tenant sese is isolated")
	// config_apply_ms is 2 s; the store is never disturbed.
	time.Sleep(6 * time.Second)
	s.note("%.1f s after the acknowledgement", time.Since(applied).Seconds())
	first := len(s.uses)
	for i := range 6 {
		s.ask(entry, fmt.Sprintf("after-%d", i), "key-jeye", fmt.Sprintf("5c1e07a2:1200,91bd3f06:1000,%08x:300", 100+i))
		time.Sleep(100 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.uses[first:] {
		if u.tenant != u.maker && (u.tenant == "sese" || u.maker == "sese") {
			return fmt.Sprintf("WALL: request %s of tenant %s used part %s that tenant %s made, which is isolated", u.request, u.tenant, u.part, u.maker)
		}
	}
	return ""
}
