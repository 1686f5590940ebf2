package mtplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/outside/mtsplit"
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

// sliceList is a list of EndpointSlices, each as it was written.
type sliceList struct {
	Metadata metadata          `json:"metadata"`
	Items    []json.RawMessage `json:"items"`
}

// Instances reads the list of live and leaving instances. The list lags. Slices that can't be read
// name no instance.
func (c *Client) Instances(ctx context.Context) ([]*mustardtidev1.Member, string, error) {
	list, err := c.readSlices(ctx)
	if err != nil {
		return nil, "", trace.Wrap(err)
	}
	var members []*mustardtidev1.Member
	for _, text := range list.Items {
		if item, ok := decodeSlice(text); ok {
			members = append(members, item.members()...)
		}
	}
	return members, list.Metadata.ResourceVersion, nil
}

func (c *Client) readSlices(ctx context.Context) (*sliceList, error) {
	response, err := c.call(ctx, http.MethodGet, c.slices(), nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "the object API's answer broke off")
	}
	list := &sliceList{}
	err = json.Unmarshal(body, list)
	if err == nil {
		return list, nil
	}
	// One item may be what can't be read.
	members, splitErr := mtsplit.Value(body).Members()
	if splitErr != nil {
		return nil, trace.ConnectionProblem(err, "the object API's answer can't be read")
	}
	list = &sliceList{}
	items, splitErr := members["items"].Elements()
	if splitErr != nil || json.Unmarshal(members["metadata"], &list.Metadata) != nil {
		return nil, trace.ConnectionProblem(err, "the object API's answer can't be read")
	}
	for _, item := range items {
		list.Items = append(list.Items, json.RawMessage(item))
	}
	return list, nil
}

// WatchInstances calls each with the members of every slice that changes after
// the given version, and the version to go on from; a deleted slice has none, and one that can't
// be read is left out. It ends as Watch does.
func (c *Client) WatchInstances(ctx context.Context, after string, each func(name, version string, members []*mustardtidev1.Member)) error {
	return c.follow(ctx, c.slices()+"?allowWatchBookmarks=true"+watchQuery(after), func(event watchEvent) error {
		if changed, ok := decodeSlice(event.Object); ok {
			if event.Type == "DELETED" {
				changed.Endpoints = nil
			}
			each(changed.Metadata.Name, changed.Metadata.ResourceVersion, changed.members())
		}
		return nil
	})
}

// decodeSlice reports whether a slice can be read.
func decodeSlice(text json.RawMessage) (slice, bool) {
	var s slice
	err := json.Unmarshal(text, &s)
	return s, err == nil
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
