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
	// Replaces names a model that a load pushes out of memory.
	Replaces string `json:"replaces,omitempty"`
}

// Values of Order.Action.
const (
	orderLoad   = "load"
	orderUnload = "unload"
	orderRole   = "role"
)

var (
	errFence  = errors.New("the fencing token is old")
	errAction = errors.New("the action must be load, unload or role, with its model or role")
)

// orders holds what the engine was ordered to do.
type orders struct {
	checksFence bool

	mu     sync.Mutex
	models []string
	fence  uint64
	taken  []Order
}

func newOrders(models []string, checksFence bool) *orders {
	return &orders{models: slices.Clone(models), checksFence: checksFence}
}

func (o *orders) take(n Order) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checksFence && n.Fence < o.fence {
		return errFence
	}
	switch {
	case n.Action == orderLoad && n.Model != "":
		o.drop(n.Replaces)
		if !slices.Contains(o.models, n.Model) {
			o.models = append(o.models, n.Model)
		}
	case n.Action == orderUnload && n.Model != "":
		o.drop(n.Model)
	case n.Action == orderRole && n.Role != "":
	default:
		return errAction
	}
	o.fence = max(o.fence, n.Fence)
	o.taken = append(o.taken, n)
	return nil
}

func (o *orders) drop(model string) {
	o.models = slices.DeleteFunc(o.models, func(m string) bool { return m == model })
}

func (o *orders) list() []Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.taken)
}

func (o *orders) loaded() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.models)
}
