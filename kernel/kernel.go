// Package kernel is the core of a heatherway process: module life cycle, module
// registry, settings, logs and metrics. It doesn't depend on any module: modules
// register themselves in init, and the main packages import them.
package kernel

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/kernel/logs"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/settings"
	"heatherway.dev/kernel/stats"
)

// ModuleInfo is the registry entry of a module.
type ModuleInfo struct {
	// ID is "namespace.name", such as "role.entry" or "adapter.openai".
	ID string
	// New returns a new module that holds its default settings.
	New func() any
}

// Provisioner is implemented by modules that acquire resources after their
// settings are decoded. Listeners are bound here, so that a port in use fails the
// process before any role starts.
type Provisioner interface{ Provision(*Context) error }

// Validator is implemented by modules that check their decoded settings. It is
// called before Provision.
type Validator interface{ Validate() error }

// Runner is a module that serves requests. Start returns once the module is
// serving; Stop drains it and returns when its work is done or ctx is done.
type Runner interface {
	Start(context.Context) error
	Stop(context.Context) error
}

// SignalObserver is implemented by roles that take requests. ObserveSignal is called at the stop signal, from a
// goroutine of its own and maybe before or during Start. Until ObserveStop the end of the stop is not known, since roles
// may still be starting and changed settings may still be read, so the role begins no request meanwhile.
type SignalObserver interface{ ObserveSignal(at time.Time) }

// StopSignal describes a stop of the process.
type StopSignal struct {
	// At is when the process was told to stop.
	At time.Time
	// Deadline is the end of the stop limit, which all roles share.
	Deadline time.Time
}

// StopObserver is implemented by roles that act on the stop signal before it is their turn to
// stop. Roles stop one after the other; one that learned of the signal by Stop only would take
// work meanwhile, and count its grace period from a later moment than the platform does.
type StopObserver interface{ ObserveStop(StopSignal) }

// Cleaner is implemented by modules that release what Provision acquired. Cleanup
// is called once, also if Provision of this or a later module failed.
type Cleaner interface{ Cleanup() error }

var registry = struct {
	sync.Mutex
	modules map[string]ModuleInfo
}{modules: map[string]ModuleInfo{}}

// Register adds a module to the registry. It is called from init, and panics if
// the id is registered already or has no namespace.
func Register(m ModuleInfo) {
	registry.Lock()
	defer registry.Unlock()
	if _, dup := registry.modules[m.ID]; dup || !strings.Contains(m.ID, ".") {
		panic(fmt.Sprintf("kernel: module id %q is registered already or has no namespace", m.ID))
	}
	registry.modules[m.ID] = m
}

// NewModule returns a new module with its default settings. It returns false if no
// module is registered under the namespace and name.
func NewModule(namespace, name string) (any, bool) {
	registry.Lock()
	defer registry.Unlock()
	info, ok := registry.modules[namespace+"."+name]
	if !ok {
		return nil, false
	}
	return info.New(), true
}

// Names returns the sorted names of the modules registered in a namespace.
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

// Instance identifies this process and its location.
type Instance struct {
	// ID is the name of the process; it is unique in the fleet.
	ID string `yaml:"id"`
	// Zone is the availability zone.
	Zone string `yaml:"zone"`
	// Region is the region of the availability zone.
	Region string `yaml:"region"`
	// Data is the directory in which roles store their data.
	Data string `yaml:"data"`
}

// Settings is the content of a settings file.
type Settings struct {
	Instance Instance         `yaml:"instance"`
	Log      LogSettings      `yaml:"log"`
	TLS      peer.TLSSettings `yaml:"tls"`
	Stop     StopSettings     `yaml:"stop"`
	Metrics  MetricsSettings  `yaml:"metrics"`
	// MemoryMB is the memory available to the process in MiB; the soft memory limit
	// of the Go runtime is set to a part of it. Zero sets no limit.
	MemoryMB int `yaml:"memory_mb"`
	// Roles lists the roles of the process, each with its settings.
	Roles []settings.Plugin `yaml:"roles"`
}

// DefaultSettings returns the values of the settings that a file leaves out.
func DefaultSettings() Settings { return Settings{Stop: StopSettings{Limit: 10 * time.Minute}} }

// LogSettings configures the JSON log on standard output.
type LogSettings struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level slog.Level `yaml:"level"`
}

// StopSettings configures a graceful shutdown.
type StopSettings struct {
	// Limit is the longest time from the stop signal that all roles together wait for running
	// work. A reload changes it.
	Limit time.Duration `yaml:"limit"`
}

// MetricsSettings configures the endpoint that Prometheus scrapes.
type MetricsSettings struct {
	// Listen is the address of the metrics endpoint; an empty address disables it.
	Listen string `yaml:"listen"`
}

// Context is passed to Provision and gives a module access to the process.
type Context struct {
	Instance Instance
	Log      *slog.Logger
	Stats    *stats.Registry
	// TLS creates the listeners and connections between processes.
	TLS    *peer.Security
	kernel *Kernel
	file   string
}

// Load creates the plug-in that a setting names, decodes and validates its
// settings, and provisions it. The kernel cleans it up when the process ends.
func (c *Context) Load(namespace string, p settings.Plugin) (any, error) {
	p.SetFile(c.file)
	return c.kernel.load(c, namespace, p)
}

// Listen returns a listener on a TCP address. The kernel closes it when the
// process ends.
func (c *Context) Listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, result.Wrap(result.AddressInUse, err, "cannot listen on "+addr)
	}
	c.kernel.cleanups = append(c.kernel.cleanups, func() error { _ = l.Close(); return nil })
	return l, nil
}

// Report registers the handler of a module's report under a path of the metrics
// endpoint.
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
	// stopLimit is the stop limit in force, a time.Duration. A reload changes it.
	stopLimit atomic.Int64
	// watchEnded is closed once changed settings are no longer applied. It is nil if no file is watched.
	watchEnded chan struct{}
}

type role struct {
	name   string
	module any
}

// New decodes the settings, and validates and provisions every module, but starts
// none of them. If it fails, it releases what the modules have acquired.
func New(doc *settings.Document) (*Kernel, error) {
	k := &Kernel{settings: DefaultSettings()}
	if err := doc.Decode(&k.settings); err != nil {
		return nil, err
	}
	if err := checkSettings(doc.Name, k.settings); err != nil {
		return nil, err
	}
	k.stopLimit.Store(int64(k.settings.Stop.Limit))
	setMemoryLimit(k.settings.MemoryMB)
	// Without this, the first line after the end of the log's reader would end the process.
	signal.Ignore(syscall.SIGPIPE)
	k.output = logs.NewWriter(os.Stdout)
	log := slog.New(slog.NewJSONHandler(k.output, &slog.HandlerOptions{Level: k.settings.Log.Level})).
		With("instance", k.settings.Instance.ID, "zone", k.settings.Instance.Zone)
	security, err := peer.NewSecurity(k.settings.TLS, log)
	if err != nil {
		return nil, err
	}
	if k.settings.MemoryMB > 0 {
		security.LimitMemory(int64(k.settings.MemoryMB) << 20)
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

// load creates, decodes, validates and provisions a module, and registers its
// cleanup.
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

// withPosition adds file, line and column to the error if it is a
// settings.FieldError.
func withPosition(p settings.Plugin, err error) error {
	var f *settings.FieldError
	if errors.As(err, &f) {
		return p.Invalid(f.Path, "%s", f.Message)
	}
	return err
}

// Run starts every role in order, waits until ctx is done, and stops the started
// roles in reverse order within the stop limit. If a role fails to start, or ctx ends
// first, the ones before it are stopped.
func (k *Kernel) Run(ctx context.Context) error {
	defer k.cleanup()
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := k.serveMetrics(); err != nil {
		return err
	}
	signalled := make(chan time.Time, 1)
	defer context.AfterFunc(ctx, func() { signalled <- k.announceSignal(time.Now()) })()
	started, err := k.startRoles(ctx, base)
	if err != nil {
		return errors.Join(err, k.stop(started, time.Now()))
	}
	if ctx.Err() == nil {
		k.ctx.Log.Info("ready", "roles", len(k.roles))
	}
	signalAt := <-signalled
	k.ctx.Log.Info("stopping")
	k.awaitLastReload()
	return k.stop(started, signalAt)
}

// announceSignal tells the roles that the stop signal has come, and returns when that was.
func (k *Kernel) announceSignal(at time.Time) time.Time {
	for _, r := range k.roles {
		if o, ok := r.module.(SignalObserver); ok {
			o.ObserveSignal(at)
		}
	}
	return at
}

// startRoles starts the roles until ctx ends, and returns how many it has started.
func (k *Kernel) startRoles(ctx, base context.Context) (started int, err error) {
	for _, r := range k.roles {
		if ctx.Err() != nil {
			break
		}
		if run, ok := r.module.(Runner); ok {
			if err := run.Start(base); err != nil {
				return started, errors.Wrap(err, "start role "+r.name)
			}
		}
		started++
	}
	return started, nil
}

// stop tells the first started roles of the stop signal, and stops them in reverse order.
func (k *Kernel) stop(started int, signalAt time.Time) error {
	signal := StopSignal{At: signalAt, Deadline: signalAt.Add(time.Duration(k.stopLimit.Load()))}
	ctx, cancel := context.WithDeadline(context.Background(), signal.Deadline)
	defer cancel()
	for _, r := range k.roles[:started] {
		if o, ok := r.module.(StopObserver); ok {
			o.ObserveStop(signal)
		}
	}
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

// cleanup releases what the modules acquired, in reverse order, and flushes the log.
func (k *Kernel) cleanup() {
	for i := len(k.cleanups) - 1; i >= 0; i-- {
		if err := k.cleanups[i](); err != nil {
			k.ctx.Log.Warn("cleanup failed", "error", err)
		}
	}
	k.cleanups = nil
	k.output.Flush()
}
