package standinengine

import (
	"slices"
	"sync"

	"github.com/go-faster/errors"
)

// Order is the body of POST /orders.
type Order struct {
	Fence  uint64 `json:"fence"`
	Action string `json:"action"`
	Model  string `json:"model,omitempty"`
	Role   string `json:"role,omitempty"`
	// Replaces names the model that a load evicts from memory.
	Replaces string `json:"replaces,omitempty"`
}

// Values of Order.Action.
const (
	orderLoad   = "load"
	orderUnload = "unload"
	orderRole   = "role"
)

var (
	errStaleFence    = errors.New("the fencing token is old")
	errInvalidAction = errors.New("the action must be load, unload or role, with its model or role")
)

// orderState holds the loaded models, the highest fencing token seen and the
// orders applied so far.
type orderState struct {
	checksFence bool

	mu      sync.Mutex
	models  []string
	fence   uint64
	applied []Order
}

func newOrderState(models []string, checksFence bool) *orderState {
	return &orderState{models: slices.Clone(models), checksFence: checksFence}
}

func (o *orderState) apply(order Order) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checksFence && order.Fence < o.fence {
		return errStaleFence
	}
	switch {
	case order.Action == orderLoad && order.Model != "":
		o.unload(order.Replaces)
		if !slices.Contains(o.models, order.Model) {
			o.models = append(o.models, order.Model)
		}
	case order.Action == orderUnload && order.Model != "":
		o.unload(order.Model)
	case order.Action == orderRole && order.Role != "":
	default:
		return errInvalidAction
	}
	o.fence = max(o.fence, order.Fence)
	o.applied = append(o.applied, order)
	return nil
}

func (o *orderState) unload(model string) {
	o.models = slices.DeleteFunc(o.models, func(m string) bool { return m == model })
}

func (o *orderState) list() []Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.applied)
}

func (o *orderState) loadedModels() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.models)
}
