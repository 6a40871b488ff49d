package measure

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"text/template"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/heatherway/internal/freeport"
)

// shape describes a fleet.
type shape struct {
	Engines int
	// Zones is the number of availability zones over which the engines are spread.
	Zones int
	Slots int
	// Step is the time of one decode step of an engine.
	Step time.Duration
	// PrefillPerToken is the time to prefill one prompt token.
	PrefillPerToken time.Duration
	// Defaults overrides fleet-wide defaults of the configuration.
	Defaults map[string]string
	// Organisations are added to the configuration, each with its name as key.
	Organisations []string
}

// engine is a stand-in engine with its agent.
type engine struct {
	name, zone    string
	engine, agent *process
	Addr          string
}

func (e *engine) url() string { return "http://" + e.Addr }

// fleet is one control instance, one entry and several engines.
type fleet struct {
	shape   shape
	binary  string
	dir     string
	control *process
	// controlAddr is the address of the control instance.
	controlAddr string
	entry       *process
	Entry       string
	engines     []*engine
	all         []*process
}

// settingsTemplate is the settings file of one process. Only warnings are
// logged, so that logging doesn't affect the measurement.
var settingsTemplate = template.Must(template.New("").Parse(`
instance: {id: {{.Name}}, zone: {{.Zone}}, region: local, data: "{{.Dir}}/{{.Name}}"}
tls: {off: true}
log: {level: warn}
metrics: {listen: "{{.Metrics}}"}
roles:
{{- if eq .Kind "control"}}
- control:
    listen: {{.Listen}}
    members: {{"{"}}{{.Name}}: "{{.Listen}}"}
    record_groups: 2
    bootstrap:
      defaults: {{"{"}}{{range $k, $v := .Shape.Defaults}}{{$k}}: "{{$v}}", {{end}}}
      organisations:
        demo: {keys: [demo]}{{range .Shape.Organisations}}
        {{.}}: {keys: [{{.}}]}{{end}}
{{- else if eq .Kind "entry"}}
- entry:
    listen: {{.Listen}}
    internal: {{.Other}}
    grace: 100ms
    control: ["{{.Control}}"]
{{- else if eq .Kind "engine"}}
- standin-engine:
    listen: {{.Listen}}
    models: [letters]
    slots: {{.Shape.Slots}}
    step: {{.Shape.Step}}
    prefill_per_token: {{.Shape.PrefillPerToken}}
    exit_on_die: true
{{- else}}
- agent:
    listen: {{.Listen}}
    control: ["{{.Control}}"]
    upstream:
      openai: {url: "http://{{.Other}}", models: [letters], slots: {{.Shape.Slots}}}
{{- end}}
`))

// instance is the input of settingsTemplate.
type instance struct {
	Kind, Name, Zone, Dir           string
	Listen, Other, Control, Metrics string
	Shape                           shape
}

// freeAddr returns a loopback address whose port is free at the moment.
func freeAddr() (string, error) {
	l, err := freeport.Listen()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newFleet starts all processes and waits until the entry knows all engines.
func newFleet(ctx context.Context, o Options, s shape) (*fleet, error) {
	dir, err := os.MkdirTemp("", "heatherway-measure-")
	if err != nil {
		return nil, err
	}
	f := &fleet{shape: s, binary: o.Binary, dir: dir}
	if err := f.startAll(ctx); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) startAll(ctx context.Context) (err error) {
	if f.controlAddr, err = freeAddr(); err != nil {
		return err
	}
	if f.control, err = f.start(instance{Kind: "control", Name: "control-0", Zone: "zone-0", Listen: f.controlAddr}); err != nil {
		return err
	}
	for i := range f.shape.Engines {
		if err := f.startEngine(i, f.controlAddr); err != nil {
			return err
		}
	}
	if err := f.startEntry(f.controlAddr); err != nil {
		return err
	}
	return f.await(ctx)
}

func (f *fleet) startEngine(i int, control string) error {
	e := &engine{name: fmt.Sprintf("letters-%d", i), zone: fmt.Sprintf("zone-%d", i%f.shape.Zones)}
	agent, err := freeAddr()
	if err != nil {
		return err
	}
	if e.Addr, err = freeAddr(); err != nil {
		return err
	}
	if e.engine, err = f.start(instance{Kind: "engine", Name: e.name + "-engine", Zone: e.zone, Listen: e.Addr}); err != nil {
		return err
	}
	e.agent, err = f.start(instance{Kind: "agent", Name: e.name, Zone: e.zone, Listen: agent, Other: e.Addr, Control: control})
	f.engines = append(f.engines, e)
	return err
}

func (f *fleet) startEntry(control string) (err error) {
	if f.Entry, err = freeAddr(); err != nil {
		return err
	}
	internal, err := freeAddr()
	if err != nil {
		return err
	}
	f.entry, err = f.start(instance{Kind: "entry", Name: "entry-0", Zone: "zone-0", Listen: f.Entry, Other: internal, Control: control})
	return err
}

// start writes the settings of one process and starts it.
func (f *fleet) start(i instance) (*process, error) {
	metrics, err := freeAddr()
	if err != nil {
		return nil, err
	}
	i.Dir, i.Metrics, i.Shape = f.dir, metrics, f.shape
	var b bytes.Buffer
	if err := settingsTemplate.Execute(&b, i); err != nil {
		return nil, err
	}
	p := &process{name: i.Name, metrics: metrics, settings: filepath.Join(f.dir, i.Name+".yaml")}
	if err := os.WriteFile(p.settings, b.Bytes(), 0o600); err != nil {
		return nil, err
	}
	if err := p.start(f.binary); err != nil {
		return nil, err
	}
	f.all = append(f.all, p)
	return p, nil
}

// stop kills every process and removes the settings.
func (f *fleet) stop() {
	for _, p := range f.all {
		p.kill()
	}
	_ = os.RemoveAll(f.dir) // files left in the temporary folder do no harm
}

const (
	// startTimeout bounds the time until a new fleet serves requests.
	startTimeout = 20 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// settleTime is the time in which the last announcements reach the entry.
	settleTime = 2500 * time.Millisecond
)

// await waits until the entry is ready, and settleTime longer for the
// announcements of the engines.
func (f *fleet) await(ctx context.Context) error {
	err := eventually(ctx, startTimeout, func() bool {
		res, err := http.Get("http://" + f.Entry + "/readyz")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		return res.StatusCode == http.StatusNoContent
	})
	if err != nil {
		return errors.Wrapf(err, "waiting for the entry to be ready; its log: %s", f.entry.log.String())
	}
	sleep(ctx, settleTime)
	return errors.Join(f.checkRunning(), ctx.Err())
}

// checkRunning returns an error if a process has ended by itself. Without one of
// its engines a fleet would be measured at a part of its capacity.
func (f *fleet) checkRunning() error {
	for _, p := range f.all {
		select {
		case <-p.done:
			return errors.Errorf("process %s ended before the measurement; its log: %s", p.name, p.log.String())
		default:
		}
	}
	return nil
}

func eventually(ctx context.Context, timeout time.Duration, check func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !check() {
		if !sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

func (f *fleet) entryURL() []string { return []string{"http://" + f.Entry} }

func (f *fleet) engineURLs() []string {
	var out []string
	for _, e := range f.engines {
		out = append(out, e.url())
	}
	return out
}

// agentMetric sums a metric over the agents.
func (f *fleet) agentMetric(ctx context.Context, name string) (float64, error) {
	var sum float64
	for _, e := range f.engines {
		v, err := e.agent.metric(ctx, name)
		if err != nil {
			return 0, err
		}
		sum += v
	}
	return sum, nil
}
