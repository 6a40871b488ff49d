package wire

import "heatherway.dev/kernel/result"

// AdminService is the net/rpc name of the operators' calls to any control
// instance. They need a certificate with the role operator.
const AdminService = "Admin"

// AdminProxyService is the net/rpc name of the same calls made by the role
// admin for operators. They need a certificate with the role control, and
// carry the name in the operator's certificate.
const AdminProxyService = "AdminProxy"

// Operator says who makes a change and why. Both are required and go into the
// audit log.
type Operator struct {
	Operator string
	Reason   string
	// Certificate is the name in the operator's certificate. Only the role admin
	// sets it; it is ignored from others.
	Certificate string
}

// StatusArgs asks for the state of the fleet.
type StatusArgs struct{}

// StatusReply is the state of the fleet as all control instances together see
// it.
type StatusReply struct {
	// Revision is the configuration in force at the instance that answers.
	Revision  uint64
	Members   []ControlStatus
	Processes []ProcessStatus
	Upstreams []Upstream
}

// ControlStatus is the state of one control instance.
type ControlStatus struct {
	Instance string
	Addr     string
	// Error is set when the instance did not answer; the rest is then empty.
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

// ProcessStatus says which configuration a process reported last.
type ProcessStatus struct {
	Instance string
	Role     string
	Zone     string
	Revision uint64
	// AgeMS is the time since the report.
	AgeMS int64
}

// LocalStatusReply is one control instance's part of StatusReply.
type LocalStatusReply struct {
	Control   ControlStatus
	Processes []ProcessStatus
}

// ConfigurationArgs asks for the configuration in force, read through a quorum.
type ConfigurationArgs struct{}

// ConfigurationReply is the JSON of config.Document.
type ConfigurationReply struct {
	Revision uint64
	Document []byte
}

// ChangeArgs proposes a change, the JSON of config.Change. Its author and
// reason are those of the operator.
type ChangeArgs struct {
	Change []byte
	// Certificate is that of Operator.
	Certificate string
}

// HistoryArgs asks for the latest changes.
type HistoryArgs struct{ Limit int }

// HistoryReply is the JSON of a list of config.ChangeRecord, the latest first.
type HistoryReply struct{ Past []byte }

// ChangeReply tells what became of a change. A repeated change id gets the
// first answer.
type ChangeReply struct {
	Accepted bool
	Revision uint64
	// Code is RevisionConflict or ChangeRefused if it was not accepted.
	Code         result.Code
	Winner       string
	WinnerAuthor string
	Problems     []string
}

// SuspectsArgs asks for the quarantine list.
type SuspectsArgs struct{}

// SuspectsReply is the quarantine list.
type SuspectsReply struct{ Suspect []Suspect }

// LiftArgs ends a quarantine.
type LiftArgs struct {
	Operator
	Fingerprint string
}

// LiftReply is empty.
type LiftReply struct{}

// AdminDrainArgs asks the agent of an upstream to leave, or to come back.
type AdminDrainArgs struct {
	Operator
	Instance string
	Undo     bool
}

// OrdersArgs asks for the orders that are kept.
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

// ReplaceMemberArgs takes a control instance out of the log groups. An instance
// that the settings of the others name comes back as a learner.
type ReplaceMemberArgs struct {
	Operator
	Instance string
}

// ReplaceMemberReply counts the groups that the instance was taken out of.
type ReplaceMemberReply struct{ Groups int }

// IssueOrderArgs issues an order for an operator. The fencing token is set by
// control.
type IssueOrderArgs struct {
	Operator
	Order Order
}
