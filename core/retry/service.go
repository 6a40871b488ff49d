package retry

import "time"

// ServiceSettings say what the upstreams of one service tolerate from all gateways together:
// retries for Ratio of the service's requests, and Slack more, in each Window.
type ServiceSettings struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Defaults of the settings of gateways. The window is DefaultWindow.
const (
	DefaultRatio = 0.8
	DefaultSlack = 150
)

const (
	// usedRatio and usedSlack are the parts of Ratio and Slack that are used. The rest covers
	// gateways that restart and forget their retries, and a count of gateways that is behind.
	usedRatio = 7.0 / 8
	usedSlack = 3.0 / 4
)

// AssumedGateways share Slack until the number of gateways is known.
const AssumedGateways = 32

// ServiceBudgets limits the retries and hedges of one gateway by service. What requests to one
// service have earned must not be spent at another: when all upstreams of a service fail, most
// retries go there. Invariant: gateways that know their number use together at most
// usedRatio x Ratio of the requests to a service, and usedSlack x Slack, for retries at it.
type ServiceBudgets struct {
	settings  ServiceSettings
	gateways  int
	byService map[string]*Budget
}

// NewServiceBudgets returns budgets without history.
func NewServiceBudgets(s ServiceSettings) *ServiceBudgets {
	return &ServiceBudgets{settings: s, gateways: AssumedGateways, byService: map[string]*Budget{}}
}

// SetGateways sets the number of gateways, this one included.
func (b *ServiceBudgets) SetGateways(count int) { b.gateways = max(count, 1) }

// AddAttempt records the first attempt of a request to a service.
func (b *ServiceBudgets) AddAttempt(now time.Time, service string) { b.of(service).AddAttempt(now) }

// AllowRetry takes one retry or hedge from the budget of a service. It returns false if that is
// exhausted.
func (b *ServiceBudgets) AllowRetry(now time.Time, service string) bool {
	budget := b.of(service)
	budget.settings.Reserve = int(usedSlack * b.settings.Slack / float64(b.gateways))
	return budget.AllowRetry(now)
}

// Keep forgets all services but those for which keep returns true.
func (b *ServiceBudgets) Keep(keep func(service string) bool) {
	for service := range b.byService {
		if !keep(service) {
			delete(b.byService, service)
		}
	}
}

func (b *ServiceBudgets) of(service string) *Budget {
	budget := b.byService[service]
	if budget == nil {
		budget = NewBudget(Settings{Window: b.settings.Window})
		budget.settings.Share = usedRatio * b.settings.Ratio // zero is no default here
		b.byService[service] = budget
	}
	return budget
}
