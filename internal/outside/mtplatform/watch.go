package mtplatform

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/outside/mtrecord"
	"github.com/mustardtide/mustardtide/internal/outside/mtsplit"
)

// maxLine bounds one line of a watch: a value in base64 with its metadata.
const maxLine = 2 * MaxValue

// watchEvent is one line of a watch.
type watchEvent struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// Watch calls each for every change of a group's objects after the given
// version, until ctx ends or the watch breaks; a deleted object has no data.
// It always returns an error: trace.CompareFailed says that the version is too
// old and that the group must be listed anew.
func (c *Client) Watch(ctx context.Context, group, after string, each func(mtrecord.Record)) error {
	target := c.records("") + selector(group) + watchQuery(after)
	return c.follow(ctx, target, func(event watchEvent) error {
		var changed record
		if err := json.Unmarshal(event.Object, &changed); err != nil {
			return trace.Wrap(err)
		}
		if event.Type == "DELETED" {
			changed.Spec.Data = nil
		}
		each(changed.value())
		return nil
	})
}

func watchQuery(after string) string {
	return "&watch=true&resourceVersion=" + url.QueryEscape(after)
}

// follow reads a watch line by line.
func (c *Client) follow(ctx context.Context, target string, each func(watchEvent) error) error {
	response, err := c.call(ctx, http.MethodGet, target, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		event, err := decodeEvent(lines.Bytes())
		if err != nil {
			return trace.ConnectionProblem(err, "the watch sent a broken line")
		}
		if event.Type == "ERROR" {
			return trace.CompareFailed("the watch's version is too old")
		}
		if err := each(event); err != nil {
			return trace.Wrap(err)
		}
	}
	return watchEnd(ctx, lines.Err())
}

// decodeEvent reads a line of a watch. Its object is not checked where that is what can't be read.
func decodeEvent(line []byte) (watchEvent, error) {
	var event watchEvent
	err := json.Unmarshal(line, &event)
	if err == nil {
		return event, nil
	}
	members, splitErr := mtsplit.Value(line).Members()
	if splitErr != nil {
		return watchEvent{}, err
	}
	event = watchEvent{Object: json.RawMessage(members["object"])}
	err = json.Unmarshal(members["type"], &event.Type)
	return event, err
}

func watchEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return trace.Wrap(ctx.Err())
	}
	if err == nil || errors.Is(err, io.EOF) {
		return trace.ConnectionProblem(nil, "the watch ended")
	}
	return trace.ConnectionProblem(err, "the watch broke")
}
