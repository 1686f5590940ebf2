package main

import (
	"fmt"
	"time"
)

// keys takes away the only client account of a deployment, and with it all keys.
func keys(s *stage, trouble bool) string {
	s.store.put("config", "main", catalog(7, tenant("sese", "key-sese", true)))
	for i := 1; i <= 3; i++ {
		s.addEngine(fmt.Sprintf("i-app%d", i), "app", "", fmt.Sprintf("%s.%d", s.net, 20+i), 6)
	}
	entry := s.addProcess("front-1", "entry", s.net+".1", "", 284)
	s.awaitReady(entry, 15*time.Second)
	time.Sleep(3500 * time.Millisecond)
	s.postAs(entry, "known-before", "key-sese")
	s.postAs(entry, "stranger-before", "key-nobody")
	s.postAs(entry, "keyless-before", "")
	if trouble {
		next := catalog(9)
		next["tenants"] = []any{}
		s.store.put("config", "main", next)
		s.note("version 9 acknowledged: tenant sese and its key are taken away")
	} else {
		s.store.put("config", "main", catalog(9, tenant("sese", "key-sese", true)))
		s.note("version 9 acknowledged: nothing is taken away")
	}
	// config_apply_ms is 2 s; the store is never disturbed.
	time.Sleep(6 * time.Second)
	s.postAs(entry, "known-after", "key-sese")
	s.postAs(entry, "stranger-after", "key-nobody")
	s.postAs(entry, "keyless-after", "")
	broken := ""
	for _, id := range []string{"stranger-before", "stranger-after"} {
		if s.runsOf(id) > 0 {
			broken += fmt.Sprintf("ROUTE: request %s has run, whose key no configuration ever held; ", id)
		}
	}
	for _, id := range []string{"keyless-before", "keyless-after"} {
		if s.runsOf(id) > 0 {
			broken += fmt.Sprintf("request %s has run without a key; ", id)
		}
	}
	if trouble && s.runsOf("known-after") > 0 {
		broken += "CONFIG: request known-after has run with a key that was taken away"
	}
	return broken
}

// postAs sends one unsafe request with a key, "" for none.
func (s *stage) postAs(p *process, id, key string) {
	headers := map[string]string{"Mustardtide-Attempt-Id": id, "Mustardtide-Deadline-Ms": "1500"}
	if key != "" {
		headers["Authorization"] = "Bearer " + key
	}
	response, _, err := send(p.front, "POST", "post.example", "/post/1", headers, "slip", 2*time.Second)
	if err != nil {
		s.note("answer %s with key %q: %v", id, key, err)
		return
	}
	s.note("answer %s with key %q: %d", id, key, response.StatusCode)
}
