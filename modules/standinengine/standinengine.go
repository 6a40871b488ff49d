// Package standinengine implements a test double of an inference engine. It
// serves the OpenAI-compatible API with continuous batching, a prefix cache,
// priorities, resumed generations and orders, and injects faults on request.
package standinengine

import (
	"context"
	"log/slog"
	"net"
	"time"

	"heatherway.dev/heatherway/internal/fault"
	"heatherway.dev/kernel"
	"heatherway.dev/kernel/settings"
	"heatherway.dev/kernel/stats"
)

func init() {
	kernel.Register(kernel.ModuleInfo{ID: "role.standin-engine", New: func() any { return New() }})
}

// Settings configure the engine.
type Settings struct {
	fault.Settings `yaml:",inline"`
	// Models are loaded at start.
	Models []string `yaml:"models"`
	// Slots is the maximum number of requests that are decoded at the same time.
	Slots int `yaml:"slots"`
	// Step is the duration of one decode step, which produces one token for
	// each running request.
	Step time.Duration `yaml:"step"`
	// PrefillPerToken is the time to prefill one token that is not cached.
	PrefillPerToken time.Duration `yaml:"prefill_per_token"`
	// PrefixCacheBlocks is the capacity of the prefix cache in blocks of 256 bytes.
	PrefixCacheBlocks int `yaml:"prefix_cache_blocks"`
	// LoadLag is the age of the load that GET /load reports.
	LoadLag time.Duration `yaml:"load_lag"`
	// EventLag is the delay before a cache event is published.
	EventLag time.Duration `yaml:"event_lag"`
	// EventLoss is the share of cache events that are dropped, from 0 to 1.
	EventLoss float64 `yaml:"event_loss"`
	// ChecksFence makes the engine refuse orders whose fencing token is older
	// than the newest one it has seen.
	ChecksFence bool `yaml:"checks_fence"`
	// CrashOn makes the engine crash when it starts a request whose prompt
	// contains this text. Empty disables it.
	CrashOn string `yaml:"crash_on"`
	// HangOn makes the engine hang when it starts a request whose prompt
	// contains this text. Empty disables it.
	HangOn string `yaml:"hang_on"`
	// RandomSeed seeds the choice of the cache events that are dropped.
	RandomSeed uint64 `yaml:"random_seed"`
}

// Engine is the module role.standin-engine.
type Engine struct {
	Settings `yaml:",inline"`

	batch  *batch
	orders *orderState
	server *fault.Server
	cancel context.CancelFunc
	tokens stats.Counter
}

// New returns an engine with the default settings.
func New() *Engine {
	return &Engine{Settings: Settings{
		Models: []string{"letters"}, Slots: 8, Step: 20 * time.Millisecond,
		PrefillPerToken: 100 * time.Microsecond, PrefixCacheBlocks: 4096,
	}}
}

// Validate implements kernel.Validator.
func (e *Engine) Validate() error {
	const maxDuration = time.Minute
	return settings.First(
		e.Check(),
		settings.InRange("slots", e.Slots, 1, 1<<16),
		settings.DurationInRange("step", e.Step, 100*time.Microsecond, maxDuration),
		settings.DurationInRange("prefill_per_token", e.PrefillPerToken, 0, maxDuration),
		settings.InRange("prefix_cache_blocks", e.PrefixCacheBlocks, 0, 1<<24),
		settings.DurationInRange("load_lag", e.LoadLag, 0, maxDuration),
		settings.DurationInRange("event_lag", e.EventLag, 0, maxDuration),
		settings.InRange("event_loss", e.EventLoss, 0, 1),
	)
}

// Provision implements kernel.Provisioner.
func (e *Engine) Provision(c *kernel.Context) error {
	l, err := c.Listen(e.Listen)
	if err != nil {
		return err
	}
	e.Bind(l, c.Log, c.Stats)
	return e.server.ServeFaults(c)
}

// Bind prepares the engine to serve on the listener.
func (e *Engine) Bind(l net.Listener, log *slog.Logger, st *stats.Registry) {
	e.tokens = st.Counter("standin_engine_tokens")
	e.orders = newOrderState(e.Models, e.ChecksFence)
	e.batch = newBatch(e.Settings)
	e.batch.prefilled = st.Counter("standin_engine_prefill_tokens")
	e.server = fault.NewServer(e.Settings.Settings, l, e.routes(), log, e.batch.dropAll)
	e.batch.fault = func(k fault.Kind) { go e.server.Apply(k) }
}

// Start implements kernel.Runner.
func (e *Engine) Start(ctx context.Context) error {
	ctx, e.cancel = context.WithCancel(ctx)
	go e.decode(ctx)
	e.server.Start()
	return nil
}

// Stop implements kernel.Runner. It waits for running generations to finish
// until ctx ends.
func (e *Engine) Stop(ctx context.Context) error {
	defer e.cancel()
	return e.server.Stop(ctx)
}

// Fault injects a fault immediately.
func (e *Engine) Fault(k fault.Kind) { e.server.Apply(k) }

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() string { return e.server.Addr() }

func (e *Engine) decode(ctx context.Context) {
	ticker := time.NewTicker(e.Step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		select {
		case <-ctx.Done():
			return
		case <-e.server.Paused():
		}
		e.tokens.Add(e.batch.step(time.Now()))
	}
}
