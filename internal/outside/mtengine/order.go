package mtengine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

const orderPath = "/order"

// orderBody is an order in the engine's form.
type orderBody struct {
	Number  uint64 `json:"number"`
	Model   string `json:"model,omitempty"`
	Weights string `json:"weights,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// orderState is what the engine says of its orders.
type orderState struct {
	Loading bool `json:"loading"`
}

// Order gives the engine an order and returns when it is carried out. An
// engine that checks fencing numbers answers an old one with
// trace.CompareFailed. After trace.ConnectionProblem the engine may still be
// carrying the order out.
func (e *Engine) Order(ctx context.Context, number uint64, order *mustardtidev1.Order) error {
	body, err := json.Marshal(orderBody{
		Number:  number,
		Model:   order.GetModel(),
		Weights: order.GetWeights(),
		Adapter: order.GetAdapter(),
		Role:    order.GetRole(),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := e.order(ctx, http.MethodPost, body)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return trace.CompareFailed("the engine has had a newer order")
	default:
		return trace.BadParameter("the engine answered the order with %s", response.Status)
	}
}

// Loading says whether the engine is carrying out an order.
func (e *Engine) Loading(ctx context.Context) (bool, error) {
	response, err := e.order(ctx, http.MethodGet, nil)
	if err != nil {
		return false, trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false, trace.ConnectionProblem(nil, "the engine answered %s", response.Status)
	}
	var state orderState
	if err := json.NewDecoder(response.Body).Decode(&state); err != nil {
		return false, trace.ConnectionProblem(err, "the engine's answer broke off")
	}
	return state.Loading, nil
}

func (e *Engine) order(ctx context.Context, method string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, e.base+orderPath, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.http.Do(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "the engine can't be reached")
	}
	return response, nil
}
