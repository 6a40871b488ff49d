package retry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against more retries at a service than its upstreams tolerate from all gateways while
// each of its requests fails: gateways spent there what requests to another service had earned.
// The fleets are those of the deployments that are known, and one of half their values.
func TestRetriesAtAFailingServiceStayWithinItsTolerance(t *testing.T) {
	known := ServiceSettings{DefaultRatio, DefaultSlack, DefaultWindow}
	const otherAttempts = 4 // after the first, as the routes allow
	for _, c := range []struct {
		gateways         int
		failing, healthy float64 // requests in a second
		settings         ServiceSettings
	}{
		{9, 4.21, 21.9, known},
		{9, 4.21, 21.9, ServiceSettings{0.4, 75, 5 * time.Second}},
		{9, 4.21, 21.9, ServiceSettings{0.8, 0, 10 * time.Second}},
		{22, 17.8, 86.2, known},
		{29, 22.9, 103.9, known},
		{105, 84.3, 392, known},
		{29, 22.9, 103.9, ServiceSettings{0.4, 75, 5 * time.Second}},
	} {
		t.Run(fmt.Sprint(c.gateways, " gateways, ", c.settings), func(t *testing.T) {
			budgets := make([]*ServiceBudgets, c.gateways)
			for i := range budgets {
				budgets[i] = NewServiceBudgets(c.settings)
				budgets[i].SetGateways(c.gateways)
			}
			s := budgets[0].settings
			window := s.Window
			now, next := time.Unix(1000, 0), 0
			var failing, healthy float64
			requests, retries := 0, 0
			for at := time.Duration(0); at < 3*window; at += 10 * time.Millisecond {
				failing, healthy = failing+c.failing/100, healthy+c.healthy/100
				for ; healthy >= 1; healthy-- {
					next++
					budgets[next%c.gateways].AddAttempt(now.Add(at), "healthy")
				}
				for ; failing >= 1; failing-- {
					next++
					b := budgets[next%c.gateways]
					b.AddAttempt(now.Add(at), "failing")
					if at < 2*window {
						continue // the service fails in the last window
					}
					requests++
					for range otherAttempts {
						if b.AllowRetry(now.Add(at), "failing") {
							retries++
						}
					}
				}
			}
			tolerated := s.Ratio*float64(requests) + s.Slack
			t.Logf("%d requests, %d retries, %.0f tolerated", requests, retries, tolerated)
			assert.Assert(t, float64(retries) <= tolerated)
			assert.Assert(t, retries > requests/2, "most of the tolerance is not used")
		})
	}
}

// Guards against budgets of services that are no longer configured.
func TestBudgetsOfRemovedServicesAreForgotten(t *testing.T) {
	b := NewServiceBudgets(ServiceSettings{DefaultRatio, DefaultSlack, DefaultWindow})
	b.AddAttempt(time.Unix(1000, 0), "a")
	b.AddAttempt(time.Unix(1000, 0), "b")
	b.Keep(func(service string) bool { return service == "b" })
	assert.Equal(t, len(b.byService), 1)
}
