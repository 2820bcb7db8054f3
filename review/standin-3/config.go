package main

import (
	"encoding/json"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

// route is a queue in the operator's configuration.
type route struct {
	Name        string         `json:"name"`
	Host        string         `json:"host"`
	Prefix      string         `json:"prefix"`
	Service     string         `json:"service"`
	Timeout     int            `json:"timeout_ms"`
	Target      int            `json:"target_duration_ms"`
	Slack       float64        `json:"slack_factor"`
	Priority    int            `json:"priority"`
	MaxAttempts int            `json:"max_attempts"`
	Advice      map[string]int `json:"advice,omitempty"`
}

// configuration returns the operator's configuration with some routes. A route's prefix is its name.
func configuration(version uint64, pools []mimic.Pool, routes ...route) string {
	type service struct {
		Name             string `json:"name"`
		EnforcesCapacity bool   `json:"enforces_capacity"`
		Standby          bool   `json:"standby"`
	}
	var services []service
	for _, p := range pools {
		services = append(services, service{p.Name, true, p.Standby})
	}
	for i := range routes {
		r := &routes[i]
		r.Host, r.Prefix, r.Timeout, r.Target, r.Slack, r.MaxAttempts = callersHost, "/"+r.Name+"/", 3000, 600, 1.6, 3
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services, "limits": map[string]int{"max_body_bytes": 256 << 10},
	})
	if err != nil {
		panic(err) // can't happen: all fields can be encoded
	}
	return string(data)
}
