// Package kernel is the small core of heatherway: life cycle, registry of
// modules, settings sections, logs and metrics. It knows no module by name;
// modules register themselves in init and the mains import them.
package kernel

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/kernel/logs"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/settings"
	"heatherway.dev/kernel/stats"
)

// ModuleInfo describes a module to the registry.
type ModuleInfo struct {
	// ID is "namespace.name", such as "role.entry" or "adapter.openai".
	ID string
	// New returns a module with its default settings.
	New func() any
}

// Provisioner prepares a module after its settings are decoded. Listeners are
// bound here, so that a port in use stops the process before anything runs.
type Provisioner interface{ Provision(*Context) error }

// Validator checks settings before Provision.
type Validator interface{ Validate() error }

// Runner is a module that serves. Start returns once the module serves; Stop
// drains it and returns when its work is done or ctx ends.
type Runner interface {
	Start(context.Context) error
	Stop(context.Context) error
}

// Cleaner releases what Provision took. It is called once, also when a later
// module failed.
type Cleaner interface{ Cleanup() error }

var registry = struct {
	sync.Mutex
	modules map[string]ModuleInfo
}{modules: map[string]ModuleInfo{}}

// Register adds a module. It is called from init and panics when the id is
// taken.
func Register(m ModuleInfo) {
	registry.Lock()
	defer registry.Unlock()
	if _, dup := registry.modules[m.ID]; dup || !strings.Contains(m.ID, ".") {
		panic(fmt.Sprintf("kernel: bad or repeated module id %q", m.ID))
	}
	registry.modules[m.ID] = m
}

// NewModule returns a module of the namespace with its default settings, or false if
// there is none of the name.
func NewModule(namespace, name string) (any, bool) {
	registry.Lock()
	defer registry.Unlock()
	info, ok := registry.modules[namespace+"."+name]
	if !ok {
		return nil, false
	}
	return info.New(), true
}

// Names returns the names registered in a namespace.
func Names(namespace string) []string {
	registry.Lock()
	defer registry.Unlock()
	var out []string
	for id := range registry.modules {
		if n, ok := strings.CutPrefix(id, namespace+"."); ok {
			out = append(out, n)
		}
	}
	sort.Strings(out)
	return out
}

// Instance says who and where this process is.
type Instance struct {
	// ID names the process; it is unique in the fleet.
	ID string `yaml:"id"`
	// Zone is the availability zone.
	Zone string `yaml:"zone"`
	// Region is the region of the zone.
	Region string `yaml:"region"`
	// Data is the data folder of the roles that need a disk.
	Data string `yaml:"data"`
}

// Settings is the layout of a settings file.
type Settings struct {
	Instance Instance         `yaml:"instance"`
	Log      LogSettings      `yaml:"log"`
	TLS      peer.TLSSettings `yaml:"tls"`
	Stop     StopSettings     `yaml:"stop"`
	Metrics  MetricsSettings  `yaml:"metrics"`
	// MemoryMB is the memory of the process in MiB; the garbage collector keeps
	// below a part of it. Zero sets no limit.
	MemoryMB int `yaml:"memory_mb"`
	// Roles names the roles of the process, each with its settings.
	Roles []settings.Plugin `yaml:"roles"`
}

// DefaultSettings returns the settings that hold when a file names no others.
func DefaultSettings() Settings { return Settings{Stop: StopSettings{Limit: 10 * time.Minute}} }

// LogSettings configures the JSON log on standard output.
type LogSettings struct {
	// Level is debug, info, warn or error.
	Level slog.Level `yaml:"level"`
}

// StopSettings configures a graceful shutdown.
type StopSettings struct {
	// Limit is the longest time a shutdown waits for running work.
	Limit time.Duration `yaml:"limit"`
}

// MetricsSettings configures the scrape endpoint.
type MetricsSettings struct {
	// Listen is the address of the endpoint; empty switches it off.
	Listen string `yaml:"listen"`
}

// Context is what a module gets in Provision.
type Context struct {
	Instance Instance
	Log      *slog.Logger
	Stats    *stats.Registry
	// TLS makes the listeners and connections between processes.
	TLS    *peer.Security
	kernel *Kernel
	file   string
}

// Load makes the plug-in that a setting names: decodes its settings, validates
// and provisions it. The kernel cleans it up.
func (c *Context) Load(namespace string, p settings.Plugin) (any, error) {
	p.SetFile(c.file)
	return c.kernel.load(c, namespace, p)
}

// Listen binds a TCP address and closes it when the process ends.
func (c *Context) Listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, result.Wrap(result.AddressInUse, err, "cannot listen on "+addr)
	}
	c.kernel.cleanups = append(c.kernel.cleanups, func() error { _ = l.Close(); return nil })
	return l, nil
}

// Report serves a report of the module under a path of the metrics address.
func (c *Context) Report(path string, h http.Handler) {
	if c.kernel.reports == nil {
		c.kernel.reports = map[string]http.Handler{}
	}
	c.kernel.reports[path] = h
}

// Kernel runs the modules of one process.
type Kernel struct {
	ctx      *Context
	settings Settings
	roles    []role
	cleanups []func() error
	output   *logs.Writer
	reports  map[string]http.Handler
}

type role struct {
	name   string
	module any
}

// New decodes the settings, and provisions and validates every module. Nothing
// serves yet. On an error everything taken so far is released.
func New(doc *settings.Document) (*Kernel, error) {
	k := &Kernel{settings: DefaultSettings()}
	if err := doc.Decode(&k.settings); err != nil {
		return nil, err
	}
	if err := checkSettings(doc.Name, k.settings); err != nil {
		return nil, err
	}
	setMemoryLimit(k.settings.MemoryMB)
	k.output = logs.NewWriter(os.Stdout)
	log := slog.New(slog.NewJSONHandler(k.output, &slog.HandlerOptions{Level: k.settings.Log.Level})).
		With("instance", k.settings.Instance.ID, "zone", k.settings.Instance.Zone)
	security, err := peer.NewSecurity(k.settings.TLS, log)
	if err != nil {
		return nil, err
	}
	k.ctx = &Context{Instance: k.settings.Instance, Log: log, Stats: stats.New(), TLS: security, kernel: k, file: doc.Name}
	for _, p := range k.settings.Roles {
		c := *k.ctx
		c.Log = log.With("role", p.Name)
		m, err := c.Load("role", p)
		if err != nil {
			k.cleanup()
			return nil, err
		}
		k.roles = append(k.roles, role{p.Name, m})
	}
	return k, nil
}

func (k *Kernel) load(c *Context, namespace string, p settings.Plugin) (any, error) {
	m, err := decodeModule(namespace, p)
	if err != nil {
		return nil, err
	}
	if cl, ok := m.(Cleaner); ok {
		k.cleanups = append(k.cleanups, cl.Cleanup)
	}
	if pr, ok := m.(Provisioner); ok {
		if err := pr.Provision(c); err != nil {
			return nil, withPosition(p, err)
		}
	}
	return m, nil
}

func withPosition(p settings.Plugin, err error) error {
	var f *settings.FieldError
	if errors.As(err, &f) {
		return p.Invalid(f.Path, "%s", f.Message)
	}
	return err
}

// Run starts every role, waits until ctx ends, and stops the roles in reverse
// order within the stop limit.
func (k *Kernel) Run(ctx context.Context) error {
	defer k.cleanup()
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := k.serveMetrics(); err != nil {
		return err
	}
	started := 0
	var startErr error
	for _, r := range k.roles {
		if run, ok := r.module.(Runner); ok {
			if startErr = run.Start(base); startErr != nil {
				startErr = errors.Wrap(startErr, "start role "+r.name)
				break
			}
		}
		started++
	}
	if startErr == nil {
		k.ctx.Log.Info("ready", "roles", len(k.roles))
		<-ctx.Done()
		k.ctx.Log.Info("stopping")
	}
	return errors.Join(startErr, k.stop(started))
}

func (k *Kernel) stop(started int) error {
	ctx, cancel := context.WithTimeout(context.Background(), k.settings.Stop.Limit)
	defer cancel()
	var errs []error
	for i := started - 1; i >= 0; i-- {
		run, ok := k.roles[i].module.(Runner)
		if !ok {
			continue
		}
		if err := run.Stop(ctx); err != nil {
			errs = append(errs, errors.Wrap(err, "stop role "+k.roles[i].name))
		}
	}
	return errors.Join(errs...)
}

func (k *Kernel) cleanup() {
	for i := len(k.cleanups) - 1; i >= 0; i-- {
		if err := k.cleanups[i](); err != nil {
			k.ctx.Log.Warn("cleanup failed", "error", err)
		}
	}
	k.cleanups = nil
	k.output.Flush()
}
