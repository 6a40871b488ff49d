package rollout

import "time"

const (
	// ReportInterval is the time between two reports of a gateway while a roll-out runs.
	ReportInterval = 300 * time.Millisecond
	// Lease is how long permits may be used, from when they were asked for. It is the longest time for which a
	// gateway that has lost the leader sends requests to a version that is reverted meanwhile.
	Lease = 1200 * time.Millisecond
	// heardFor is how long a gateway counts after its last report.
	heardFor = 2 * time.Second
)

// Report is what a gateway has counted since it heard of the roll-outs that run. All figures are
// totals, so a report that is lost or repeated does no harm. With it the gateway gives back all
// permits that it has not used.
type Report struct {
	Gateway string
	// Run identifies the process of the gateway, and Seq the report within it.
	Run, Seq uint64
	// Revision is that of the view that the gateway follows.
	Revision uint64
	Rollouts []RolloutReport
}

// RolloutReport is the part of a report for one roll-out.
type RolloutReport struct {
	Service string
	ID      uint64
	// Used is the number of permits used, for any request.
	Used int64
	// OtherRunning is the number of requests that run at other versions than the target.
	OtherRunning int
	// Open is set if the gateway sends new requests to the target without a limit.
	Open   bool
	Routes map[string]RouteCounts
}

// Answer is the answer of the leader to a report.
type Answer struct{ Grants []Grant }

// Grant lets a gateway send requests to the target of a roll-out until the lease ends.
type Grant struct {
	Service string
	ID      uint64
	// Open lets it send all new requests, in the phase Shifting.
	Open bool
	// Permits is the number of requests.
	Permits int64
	// Shares are the shares of the requests of each route that are to be sent to the target. The empty
	// name stands for routes that are not named.
	Shares map[string]float64
}
