package main

import (
	"context"
	"time"
)

func init() {
	scenarios["probe-tokens"] = probeTokens
}

func (c *rig) usualFleet(gateways int) (map[string]*worker, error) {
	workers := map[string]*worker{}
	c.store.put("op", "config", configuration(1, usualTenants))
	for _, id := range []string{"app-1", "app-2", "app-3", "llm-1", "llm-2", "llm-3"} {
		w, err := c.addWorker(id, id[:3])
		if err != nil {
			return nil, err
		}
		workers[id] = w
	}
	if err := c.startFleet(gateways); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	return workers, nil
}

func (c *rig) show(q call) result {
	q.id = c.nextID("a")
	r := q.send(context.Background())
	c.logf("%s %s %v: %s", q.path, q.key, q.header, r)
	return r
}

func probeTokens(c *rig) error {
	workers, err := c.usualFleet(2)
	if err != nil {
		return err
	}
	for _, w := range workers {
		w.memory = 909650
	}
	ordinary := func() {
		for _, g := range c.gateways {
			for _, key := range []string{"k1", "k2"} {
				c.show(call{gateway: g, path: "/alert/x", key: key, deadline: 3 * time.Second, body: "hi", header: map[string]string{"Token-Count": "2000,25", "Model": "m", "Prompt-Prefix": "a1:500,b2:1500"}})
			}
		}
	}
	for range 5 {
		ordinary()
	}
	for _, odd := range []string{"9223372036854775807,1", "9000000000000000000,1", "1,9000000000000000000", "4611686018427387904,4611686018427387904", "1000000000000,1000000000000"} {
		c.show(call{gateway: c.gateways[0], path: "/book/x", key: "k1", deadline: 15 * time.Second, body: "hi", header: map[string]string{"Token-Count": odd, "Model": "m", "Prompt-Prefix": "a1:500,b2:1500"}})
		time.Sleep(600 * time.Millisecond)
		ordinary()
	}
	time.Sleep(5 * time.Second)
	ordinary()
	return nil
}
