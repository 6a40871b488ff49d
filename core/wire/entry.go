package wire

// EntryService is the net/rpc name of an entry's calls.
const EntryService = "Entry"

// EntryStatusArgs is empty.
type EntryStatusArgs struct{}

// EntryStatusReply is the state of an entry.
type EntryStatusReply struct {
	Instance string
	Zone     string
	// Ready is what the readiness check of the load balancer answers.
	Ready    bool
	Leaving  bool
	Revision uint64
	// Behind is set when the entry knows of a newer revision than it has.
	Behind    bool
	Open      int
	Upstreams []UpstreamView
}

// UpstreamView is what an entry knows about one upstream.
type UpstreamView struct {
	ID       string
	State    UpstreamState
	Breaker  string
	InFlight int
	Load     Load
}

// EntryReportArgs asks for the service-level counts.
type EntryReportArgs struct{}

// EntryReportReply carries the JSON of the counts since the entry started.
type EntryReportReply struct{ Report []byte }

// AgentCrashNumber is the CrashNumber with which an entry reports that an agent
// itself is gone. An agent numbers the crashes of its engine from 1, and its
// own end can only be reported by others.
const AgentCrashNumber = 1<<64 - 1
