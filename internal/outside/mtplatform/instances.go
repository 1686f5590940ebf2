package mtplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

const (
	sliceAPI     = "discovery.k8s.io/v1"
	roleLabel    = "mustardtide.dev/role"
	serviceLabel = "mustardtide.dev/service"
)

// slice is the API's EndpointSlice as far as the list of instances needs it.
type slice struct {
	APIVersion string     `json:"apiVersion"`
	Kind       string     `json:"kind"`
	Metadata   metadata   `json:"metadata"`
	Endpoints  []endpoint `json:"endpoints"`
	Ports      []port     `json:"ports"`
}

type endpoint struct {
	Addresses  []string   `json:"addresses"`
	Conditions conditions `json:"conditions"`
	TargetRef  reference  `json:"targetRef"`
	Zone       string     `json:"zone"`
}

type conditions struct {
	Ready       bool `json:"ready"`
	Terminating bool `json:"terminating"`
}

type reference struct {
	Name string `json:"name"`
}

type port struct {
	Port int `json:"port"`
}

// Instances reads the list of live and leaving instances. The list lags.
func (c *Client) Instances(ctx context.Context) ([]*mustardtidev1.Member, string, error) {
	var list struct {
		Metadata metadata `json:"metadata"`
		Items    []slice  `json:"items"`
	}
	if err := c.read(ctx, c.slices(), &list); err != nil {
		return nil, "", trace.Wrap(err)
	}
	var members []*mustardtidev1.Member
	for _, item := range list.Items {
		members = append(members, item.members()...)
	}
	return members, list.Metadata.ResourceVersion, nil
}

// WatchInstances calls each with the members of every slice that changes after
// the given version, and the version to go on from; a deleted slice has none.
// It ends as Watch does.
func (c *Client) WatchInstances(ctx context.Context, after string, each func(name, version string, members []*mustardtidev1.Member)) error {
	return c.follow(ctx, c.slices()+"?allowWatchBookmarks=true"+watchQuery(after), func(event watchEvent) error {
		var changed slice
		if err := json.Unmarshal(event.Object, &changed); err != nil {
			return trace.Wrap(err)
		}
		if event.Type == "DELETED" {
			changed.Endpoints = nil
		}
		each(changed.Metadata.Name, changed.Metadata.ResourceVersion, changed.members())
		return nil
	})
}

func (c *Client) slices() string {
	return fmt.Sprintf("%s/apis/%s/namespaces/%s/endpointslices", c.base, sliceAPI, c.namespace)
}

func (s slice) members() []*mustardtidev1.Member {
	members := make([]*mustardtidev1.Member, 0, len(s.Endpoints))
	for _, e := range s.Endpoints {
		if len(e.Addresses) == 0 || len(s.Ports) == 0 {
			continue
		}
		members = append(members, &mustardtidev1.Member{
			Name:       e.TargetRef.Name,
			Role:       s.Metadata.Labels[roleLabel],
			Address:    net.JoinHostPort(e.Addresses[0], strconv.Itoa(s.Ports[0].Port)),
			Datacentre: e.Zone,
			Service:    s.Metadata.Labels[serviceLabel],
			Leaving:    e.Conditions.Terminating,
		})
	}
	return members
}
