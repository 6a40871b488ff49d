package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/result"
)

// maxModelListBytes bounds how much of an engine's list of models is read.
const maxModelListBytes = 1 << 20

// engineOrder is the request body of POST /orders.
type engineOrder struct {
	Fence    uint64 `json:"fence"`
	Action   string `json:"action"`
	Model    string `json:"model,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
	Version  string `json:"version,omitempty"`
	Role     string `json:"role,omitempty"`
	Replaces string `json:"replaces,omitempty"`
}

// actions maps the kinds of order to the engine's names for them.
var actions = map[wire.OrderKind]string{
	wire.LoadModel:     "load",
	wire.UnloadModel:   "unload",
	wire.LoadAdapter:   "load_adapter",
	wire.UnloadAdapter: "unload_adapter",
	wire.SetVersion:    "version",
	wire.SetRole:       "role",
}

// Order implements adapter.Orderer.
func (e *Engine) Order(ctx context.Context, o wire.Order) error {
	body, err := json.Marshal(engineOrder{
		Fence: o.Fence, Action: actions[o.Kind], Model: o.Model, Adapter: o.Adapter,
		Version: o.Version, Role: o.Role, Replaces: o.Replaces,
	})
	if err != nil {
		return result.Wrap(result.Internal, err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL+"/orders", bytes.NewReader(body))
	if err != nil {
		return result.Wrap(result.Internal, err, "engine order")
	}
	req.GetBody = nil // prevents the transport from resending the order
	req.Header.Set("Content-Type", "application/json")
	res, err := e.client.Do(req)
	if err != nil {
		return adapter.TransportError(err)
	}
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBody))
	return orderError(res.StatusCode, string(text))
}

func orderError(status int, text string) error {
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusConflict:
		return result.New(result.FenceStale, "the engine refused the order: %s", text)
	default:
		return result.New(result.UpstreamFailed, "the engine answered the order with %d: %s", status, text)
	}
}

// Refresh implements adapter.Refresher. It fetches the engine's list of models. An engine
// without such a list is announced with the models in the settings.
func (e *Engine) Refresh(ctx context.Context) (changed bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.URL+"/v1/models", nil)
	if err != nil {
		return false, result.Wrap(result.Internal, err, "engine request")
	}
	res, err := e.client.Do(req)
	if err != nil {
		return false, adapter.TransportError(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return false, result.New(result.UpstreamFailed, "the list of models answered %d", res.StatusCode)
	}
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxModelListBytes)).Decode(&list); err != nil {
		return false, result.Wrap(result.UpstreamMalformed, err, "list of models")
	}
	models := make([]string, 0, len(list.Data))
	for _, m := range list.Data {
		models = append(models, m.ID)
	}
	slices.Sort(models)
	if slices.Equal(models, e.models()) {
		return false, nil
	}
	e.listedModels.Store(&models)
	return true, nil
}

// models returns the engine's last list of models, or the models in the settings if it
// has returned none.
func (e *Engine) models() []string {
	if p := e.listedModels.Load(); p != nil {
		return *p
	}
	return e.Models
}
