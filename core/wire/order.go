package wire

// OrderKind names what an order makes an engine do.
type OrderKind string

// The kinds of order.
const (
	LoadModel     OrderKind = "load_model"
	UnloadModel   OrderKind = "unload_model"
	LoadAdapter   OrderKind = "load_adapter"
	UnloadAdapter OrderKind = "unload_adapter"
	// SetVersion loads another version of a model in place of the old one.
	SetVersion OrderKind = "set_version"
	// SetRole changes what the engine does, such as "prefill" or "decode".
	SetRole OrderKind = "set_role"
)

// Loads tells whether the order reads from the weight store.
func (k OrderKind) Loads() bool {
	return k == LoadModel || k == LoadAdapter || k == SetVersion
}

// Order is an order to the engine of an upstream.
type Order struct {
	ID ID `json:"id"`
	// Fence is the fencing token of the issuer's lease.
	Fence    uint64    `json:"fence"`
	Upstream string    `json:"upstream"`
	Kind     OrderKind `json:"kind"`
	Model    string    `json:"model,omitempty"`
	Adapter  string    `json:"adapter,omitempty"`
	Version  string    `json:"version,omitempty"`
	Role     string    `json:"role,omitempty"`
	// Replaces names the model that a load pushes out of the engine's memory.
	Replaces string `json:"replaces,omitempty"`
}

// OrderDoneArgs reports the end of an order that an agent was given by its
// watch. It may be repeated.
type OrderDoneArgs struct {
	ID       ID     `json:"id"`
	Upstream string `json:"upstream"`
	OK       bool   `json:"ok"`
	Message  string `json:"message,omitempty"`
}

// OrderDoneReply is empty.
type OrderDoneReply struct{}

// OrderFenceArgs asks for the lowest fencing token that an agent may accept.
type OrderFenceArgs struct{ Upstream string }

// OrderFenceReply is that token, read through a quorum.
type OrderFenceReply struct{ Fence uint64 }

// LeaseArgs asks for a lease, or renews or gives back the one with the fencing
// token. The calls need the role operator or control.
type LeaseArgs struct {
	Name   string
	Holder string
	// Request is chosen by the holder for each new lease; the same request gets
	// the same grant again.
	Request    ID
	DurationMS int64
	// Fence is set to renew or give back.
	Fence uint64
	// Release gives the lease back.
	Release bool
}

// LeaseReply is the state of the lease after the call. A holder may rely on a
// grant for DurationMS from when it sent the call.
type LeaseReply struct {
	Granted    bool
	Holder     string
	Fence      uint64
	DurationMS int64
}

// OrderArgs stages an order. Its ID makes a repeated call safe.
type OrderArgs struct{ Order Order }

// OrderReply is the state of an order.
type OrderReply struct {
	Status  string
	Message string
}

// CancelOrderArgs cancels an order that has not been released.
type CancelOrderArgs struct{ ID ID }
