package wire

import "heatherway.dev/kernel/result"

// AdminService is the net/rpc service name of the operators' calls, which any
// control instance serves. Callers need a certificate with the role operator.
const AdminService = "Admin"

// AdminProxyService is the net/rpc service name of the same calls when the role
// admin makes them on behalf of operators. Callers need a certificate with the
// role control, and the calls carry the name in the operator's certificate.
const AdminProxyService = "AdminProxy"

// Operator identifies who makes a change and why. Both are required and are
// written to the audit log.
type Operator struct {
	Operator string
	Reason   string
	// Certificate is the name in the operator's certificate. Only the role admin
	// sets it; from other callers it is ignored.
	Certificate string
}

// StatusArgs asks for the state of the fleet.
type StatusArgs struct{}

// StatusReply is the state of the fleet, combined from all control instances.
type StatusReply struct {
	// Revision is the configuration in force at the instance that replies.
	Revision  uint64
	Members   []ControlStatus
	Processes []ProcessStatus
	Upstreams []Upstream
}

// ControlStatus is the state of one control instance.
type ControlStatus struct {
	Instance string
	Addr     string
	// Error is set when the instance did not answer; the other fields are then
	// empty.
	Error  string
	Groups []GroupStatus
}

// GroupStatus is the state of one log group at a control instance.
type GroupStatus struct {
	Group uint32
	// Role is leader, candidate, follower, or learner for a member without a
	// vote.
	Role string
	// Voters is the number of members with a vote, as this instance knows them. A
	// group tolerates the loss of an instance only once a majority of the others
	// vote.
	Voters  int
	Term    uint64
	Leader  string
	Commit  uint64
	Applied uint64
}

// ProcessStatus is the configuration revision that a process reported last.
type ProcessStatus struct {
	Instance string
	Role     string
	Zone     string
	Revision uint64
	// AgeMS is the time since the report.
	AgeMS int64
}

// LocalStatusReply is one control instance's contribution to StatusReply.
type LocalStatusReply struct {
	Control   ControlStatus
	Processes []ProcessStatus
}

// ConfigurationArgs asks for the configuration in force, with a quorum read.
type ConfigurationArgs struct{}

// ConfigurationReply returns the JSON of config.Document.
type ConfigurationReply struct {
	Revision uint64
	Document []byte
}

// ChangeArgs proposes a change, as the JSON of config.Change. Its author and
// reason are those of the operator.
type ChangeArgs struct {
	Change []byte
	// Certificate has the meaning of Operator.Certificate.
	Certificate string
}

// HistoryArgs asks for the latest changes.
type HistoryArgs struct{ Limit int }

// HistoryReply returns the JSON of a list of config.ChangeRecord, the latest first.
type HistoryReply struct{ Past []byte }

// ChangeReply is the outcome of a change. Repeating a change id returns the
// first outcome.
type ChangeReply struct {
	Accepted bool
	Revision uint64
	// Code is RevisionConflict or ChangeRefused if it was not accepted.
	Code result.Code
	// Winner, WinnerAuthor and Problems are those of config.ChangeResult.
	Winner       string
	WinnerAuthor string
	Problems     []string
}

// SuspectsArgs asks for the quarantine list.
type SuspectsArgs struct{}

// SuspectsReply is the quarantine list.
type SuspectsReply struct{ Suspect []Suspect }

// LiftArgs ends the quarantine of a fingerprint.
type LiftArgs struct {
	Operator
	Fingerprint string
}

// LiftReply is empty.
type LiftReply struct{}

// AdminDrainArgs tells the agent of an upstream to drain, or to accept requests
// again if Undo is set.
type AdminDrainArgs struct {
	Operator
	Instance string
	Undo     bool
}

// OrdersArgs asks for the retained orders.
type OrdersArgs struct{}

// OrdersReply lists the orders, the oldest first.
type OrdersReply struct{ Orders []OrderState }

// OrderState is an order with its state.
type OrderState struct {
	Order   Order
	Status  string
	Message string
	AtMS    int64
}

// ReplaceMemberArgs removes a control instance from the log groups. An instance
// that the settings of the other instances list rejoins as a learner.
type ReplaceMemberArgs struct {
	Operator
	Instance string
}

// ReplaceMemberReply returns the number of groups that the instance was removed
// from.
type ReplaceMemberReply struct{ Groups int }

// IssueOrderArgs issues an order on behalf of an operator. The control instance
// sets the fencing token.
type IssueOrderArgs struct {
	Operator
	Order Order
}
