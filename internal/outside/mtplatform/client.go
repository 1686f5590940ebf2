// Package mtplatform speaks the platform's object API.
//
// The API follows the published conventions of the Kubernetes API: objects
// under /apis/GROUP/VERSION/namespaces/NS/RESOURCE, metadata.resourceVersion
// for conditional updates, watches as lines of JSON, errors as Status objects,
// instances as EndpointSlices. Only net/http and encoding/json are used: the
// client library of that API alone would take a sidecar over its 32 MB.
package mtplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/outside/mtrecord"
)

// MaxValue is the largest value that the platform holds, in bytes.
const MaxValue = 1 << 20

const (
	apiVersion = "mustardtide.dev/v1"
	recordKind = "Record"
	groupLabel = "group"
)

// Client calls the object API. Errors are trace.NotFound, trace.AlreadyExists,
// trace.CompareFailed, trace.LimitExceeded, or trace.ConnectionProblem, which
// for a write means that it may have taken effect. It is safe for concurrent use.
type Client struct {
	base      string
	namespace string
	http      *http.Client
}

// New returns a client for the API at base, for example http://127.0.0.1:7000.
func New(base, namespace string, transport http.RoundTripper) *Client {
	return &Client{
		base:      strings.TrimSuffix(base, "/"),
		namespace: namespace,
		http:      &http.Client{Transport: transport},
	}
}

// metadata and record are the API's JSON form.
type metadata struct {
	Name            string            `json:"name,omitempty"`
	ResourceVersion string            `json:"resourceVersion,omitempty"`
	Labels          map[string]string `json:"labels,omitempty"`
}

type spec struct {
	Data []byte `json:"data"`
}

type record struct {
	APIVersion string   `json:"apiVersion"`
	Kind       string   `json:"kind"`
	Metadata   metadata `json:"metadata"`
	Spec       spec     `json:"spec"`
}

func (r record) value() mtrecord.Record {
	return mtrecord.New(r.Metadata.Name, r.Metadata.ResourceVersion, r.Spec.Data)
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, name string) (mtrecord.Record, error) {
	return c.one(ctx, http.MethodGet, c.records(name), nil)
}

// Create writes an object that must not exist yet.
func (c *Client) Create(ctx context.Context, name string, data []byte) (mtrecord.Record, error) {
	return c.one(ctx, http.MethodPost, c.records(""), newRecord(name, "", data))
}

// Update replaces the value of old if the object still has old's version.
func (c *Client) Update(ctx context.Context, old mtrecord.Record, data []byte) (mtrecord.Record, error) {
	return c.one(ctx, http.MethodPut, c.records(old.Name()), newRecord(old.Name(), old.Version(), data))
}

// Delete removes the object if it still has old's version.
func (c *Client) Delete(ctx context.Context, old mtrecord.Record) error {
	body := map[string]any{"preconditions": metadata{ResourceVersion: old.Version()}}
	response, err := c.call(ctx, http.MethodDelete, c.records(old.Name()), body)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	return trace.Wrap(discard(response.Body))
}

// List reads all objects of a group, with the version to watch from.
func (c *Client) List(ctx context.Context, group string) ([]mtrecord.Record, string, error) {
	var list struct {
		Metadata metadata `json:"metadata"`
		Items    []record `json:"items"`
	}
	if err := c.read(ctx, c.records("")+selector(group), &list); err != nil {
		return nil, "", trace.Wrap(err)
	}
	found := make([]mtrecord.Record, 0, len(list.Items))
	for _, item := range list.Items {
		found = append(found, item.value())
	}
	return found, list.Metadata.ResourceVersion, nil
}

func newRecord(name, version string, data []byte) record {
	return record{
		APIVersion: apiVersion,
		Kind:       recordKind,
		Metadata: metadata{
			Name:            name,
			ResourceVersion: version,
			Labels:          map[string]string{groupLabel: groupOf(name)},
		},
		Spec: spec{Data: data},
	}
}

// groupOf is what stands before a name's last dot.
func groupOf(name string) string {
	if dot := strings.LastIndexByte(name, '.'); dot >= 0 {
		return name[:dot]
	}
	return name
}

func selector(group string) string {
	return "?labelSelector=" + url.QueryEscape(groupLabel+"="+group)
}

func (c *Client) records(name string) string {
	path := c.base + "/apis/" + apiVersion + "/namespaces/" + c.namespace + "/records"
	if name == "" {
		return path
	}
	return path + "/" + name
}

func (c *Client) one(ctx context.Context, method, target string, body any) (mtrecord.Record, error) {
	response, err := c.call(ctx, method, target, body)
	if err != nil {
		return mtrecord.Record{}, trace.Wrap(err)
	}
	defer response.Body.Close()
	var got record
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		return mtrecord.Record{}, trace.ConnectionProblem(err, "the object API's answer broke off")
	}
	return got.value(), nil
}

func (c *Client) read(ctx context.Context, target string, into any) error {
	response, err := c.call(ctx, http.MethodGet, target, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return trace.ConnectionProblem(err, "the object API's answer broke off")
	}
	return nil
}

// call sends one request and turns a failure status into a typed error.
func (c *Client) call(ctx context.Context, method, target string, body any) (*http.Response, error) {
	var reader io.Reader = http.NoBody
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "the object API can't be reached")
	}
	if response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	defer response.Body.Close()
	return nil, failure(response)
}

func discard(r io.Reader) error {
	_, err := io.Copy(io.Discard, r)
	return trace.Wrap(err)
}
