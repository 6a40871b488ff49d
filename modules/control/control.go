// Package control implements the role of the control instances. It keeps the
// configuration, the quarantine list, leases, orders and idempotency records in
// replicated log groups, and the membership in memory only.
package control

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/config"
	"heatherway.dev/core/raft"
	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/disk"
	"heatherway.dev/heatherway/modules/control/replica"
	"heatherway.dev/kernel"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/settings"
	"heatherway.dev/kernel/stats"
)

func init() {
	kernel.Register(kernel.ModuleInfo{ID: "role.control", New: func() any { return newControl() }})
}

// Bounds and defaults of the settings, timeouts and intervals.
const (
	maxRecordGroups     = 64
	defaultRecordGroups = 4
	// commandTimeout bounds a command from its call to its reply. It is long
	// enough for an election.
	commandTimeout = 3 * time.Second
	// logFolder is the folder of the replicated log below the instance's data
	// folder.
	logFolder = "control"
	// bootstrapRetryInterval is the pause between attempts to write the
	// bootstrap configuration.
	bootstrapRetryInterval = 200 * time.Millisecond
)

// Settings are the settings of the role.
type Settings struct {
	// Listen is the address of the internal listener.
	Listen string `yaml:"listen"`
	// Advertise is the address that other instances use to reach this one. It
	// defaults to the listener's address.
	Advertise string `yaml:"advertise"`
	// Members maps the ids of the initial control instances to their addresses.
	Members map[string]string `yaml:"members"`
	// RecordGroups is the number of log groups for idempotency records. It must
	// be the same on every control instance and cannot be changed later, since
	// it determines the group of each key.
	RecordGroups int `yaml:"record_groups"`
	// Bootstrap is the configuration that is written as the first change if the
	// log is empty.
	Bootstrap Bootstrap `yaml:"bootstrap"`
}

// Bootstrap is the initial configuration.
type Bootstrap struct {
	// Defaults overrides built-in defaults.
	Defaults map[string]string `yaml:"defaults"`
	// Exceptions are the initial exceptions.
	Exceptions []BootstrapException `yaml:"exceptions"`
	// Organisations are the initial organisations by name.
	Organisations map[string]BootstrapOrganisation `yaml:"organisations"`
}

// BootstrapException is an exception of the initial configuration.
type BootstrapException struct {
	// ID identifies the exception.
	ID string `yaml:"id"`
	// Key is the configuration key that the exception sets.
	Key string `yaml:"key"`
	// Value applies instead of the default.
	Value string `yaml:"value"`
	// Reason is required.
	Reason string `yaml:"reason"`
	// Organisation limits the exception to one organisation; empty matches all.
	Organisation string `yaml:"organisation"`
	// Model limits the exception to one model; empty matches all.
	Model string `yaml:"model"`
	// Zone limits the exception to one availability zone; empty matches all.
	Zone string `yaml:"zone"`
	// Upstream limits the exception to one upstream; empty matches all.
	Upstream string `yaml:"upstream"`
	// Service limits the exception to one service; empty matches all.
	Service string `yaml:"service"`
}

// BootstrapOrganisation is an organisation of the initial configuration.
type BootstrapOrganisation struct {
	// Keys are plain-text API keys of callers, meant for local runs.
	Keys []string `yaml:"keys"`
	// KeyHashes are SHA-256 hashes of callers' API keys in hexadecimal.
	KeyHashes []string `yaml:"key_hashes"`
}

// Control is the module of the control role.
type Control struct {
	Settings `yaml:",inline"`

	instance kernel.Instance
	logger   *slog.Logger
	auditLog *slog.Logger
	stats    *stats.Registry
	security *peer.Security
	listener net.Listener
	server   *http.Server

	log            Log
	fleet          *fleetMachine
	records        []*recordMachine
	membership     *membership
	parts          *partLedger
	quorum         quorumMonitor
	warmupVersions versionSet
	sentSubsets    sentSubsets
	subsetCache    subsetCache
	metrics        callMetrics
	liveness       peerLiveness
	limits         *rateLimits
	peers          *peer.Clients
	// replica is the log in the data folder, or nil without one.
	replica *replicatedLog
	// files are the file operations of the log.
	files disk.Files
	// syncEachCommand makes the log sync after every command, to measure the
	// gain of syncing a batch.
	syncEachCommand bool

	ctx    context.Context
	cancel context.CancelFunc
}

func newControl() *Control {
	return &Control{Settings: Settings{RecordGroups: defaultRecordGroups}}
}

// Validate implements kernel.Validator.
func (c *Control) Validate() error {
	if c.Listen == "" {
		return settings.Field("listen", "must be set")
	}
	if err := settings.InRange("record_groups", c.RecordGroups, 1, maxRecordGroups); err != nil {
		return err
	}
	trial := config.NewState()
	change := c.Bootstrap.change(0)
	if len(change.Edits) == 0 {
		return nil
	}
	if a := trial.Apply(1, change); a.Outcome != config.Accepted {
		return settings.Field("bootstrap", "%s", joinProblems(a.Problems))
	}
	return nil
}

// Provision implements kernel.Provisioner.
func (c *Control) Provision(ctx *kernel.Context) error {
	l, err := ctx.Listen(c.Listen)
	if err != nil {
		return err
	}
	c.listener = l
	if c.Advertise == "" {
		c.Advertise = l.Addr().String()
	}
	c.instance, c.logger, c.stats, c.security = ctx.Instance, ctx.Log, ctx.Stats, ctx.TLS
	c.auditLog = newAuditLogger(os.Stderr, ctx.Instance.ID)
	c.initContext()
	return c.build()
}

func (c *Control) initContext() { c.ctx, c.cancel = context.WithCancel(context.Background()) }

// build creates the state machines, the log that drives them and the
// membership.
func (c *Control) build() error {
	c.fleet = newFleetMachine()
	machines := []StateMachine{c.fleet}
	for range c.RecordGroups {
		r := newRecordMachine()
		c.records = append(c.records, r)
		machines = append(machines, r)
	}
	c.metrics = newCallMetrics(c.stats)
	c.membership = newMembership(c.logger, time.Now, c.stats)
	c.parts = newPartLedger(c.logger, c.stats)
	c.limits = newRateLimits()
	c.peers = c.security.NewClients()
	return c.openLog(machines)
}

// openLog opens the replicated log in the data folder. Without a data folder, a
// single instance keeps its state in memory, for local runs.
func (c *Control) openLog(machines []StateMachine) error {
	if c.instance.Data == "" {
		if len(c.Members) > 1 {
			return result.New(result.SettingInvalid, "instance.data: must be set for a control instance with other members")
		}
		c.logger.Warn("instance.data is not set; control state is kept in memory and lost when this instance stops")
		c.log = newMemoryLog(machines)
		return nil
	}
	o := replica.Options{
		Self: raft.MemberID(c.instance.ID), Folder: filepath.Join(c.instance.Data, logFolder),
		Machines: map[replica.Group]replica.StateMachine{}, Security: c.security, Log: c.logger, Stats: c.stats,
		SyncEach: c.syncEachCommand, Files: c.files,
	}
	for i, m := range machines {
		o.Machines[replica.Group(i)] = m
	}
	for id, addr := range c.Members {
		o.Peers = append(o.Peers, replica.Peer{ID: raft.MemberID(id), Addr: addr})
	}
	if len(c.Members) == 0 {
		o.Peers = []replica.Peer{{ID: o.Self, Addr: c.Advertise}}
	}
	l, err := openReplicatedLog(o)
	if err != nil {
		return err
	}
	c.replica, c.log = l, l
	return nil
}

// Start implements kernel.Runner.
func (c *Control) Start(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(peer.RPCPath, &peer.Handler{Security: c.security, Roles: servedRoles, ServicesForPeer: c.services})
	c.server = peer.NewServer(c.ctx, mux)
	go c.serve()
	if c.replica != nil {
		if err := c.replica.Start(ctx); err != nil {
			return err
		}
	}
	c.startWorkers()
	return nil
}

// startWorkers starts the background goroutines that do not need the listener.
func (c *Control) startWorkers() {
	go c.quorum.run(c.ctx, c.reachQuorum)
	go c.membership.run(c.ctx)
	go c.parts.run(c.ctx)
	for id, addr := range c.Members {
		if id != c.instance.ID {
			go c.sendDigests(c.ctx, id, c.security.NewClient(addr))
			go c.exchangeParts(c.ctx, c.parts.addPeer(), c.security.NewClient(addr))
		}
	}
	go c.limits.run(c.ctx)
	go c.runLeaderTasks(c.ctx)
	go c.bootstrap()
}

func (c *Control) serve() {
	err := c.server.Serve(c.security.NewListener(c.listener))
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		c.logger.Error("serving the internal listener failed", "error", err)
	}
}

// Stop implements kernel.Runner. It transfers leadership while the other
// members can still reach this instance.
func (c *Control) Stop(ctx context.Context) error {
	var err error
	if c.replica != nil {
		err = c.replica.Stop(ctx)
	}
	c.cancel()
	err = errors.Join(err, c.server.Close())
	return err
}

// Cleanup implements kernel.Cleaner.
func (c *Control) Cleanup() error {
	if c.cancel != nil {
		c.cancel()
	}
	if c.peers != nil {
		c.peers.Close()
	}
	if c.replica == nil {
		return nil
	}
	return c.replica.Kill()
}

// bootstrap writes the initial configuration if there is none. Several
// instances may try; only the first change on revision 0 is accepted.
func (c *Control) bootstrap() {
	change := c.Bootstrap.change(time.Now().UnixMilli())
	if len(change.Edits) == 0 {
		return
	}
	for c.ctx.Err() == nil {
		done, err := c.tryBootstrap(change)
		if done {
			return
		}
		c.logger.Debug("bootstrap configuration could not be written yet; trying again", "error", err)
		select {
		case <-time.After(bootstrapRetryInterval):
		case <-c.ctx.Done():
		}
	}
}

func (c *Control) tryBootstrap(change config.Change) (done bool, err error) {
	if !c.log.Leader(fleetGroup).Local {
		return c.fleet.view().Doc.Revision > 0, nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, commandTimeout)
	defer cancel()
	if err := c.log.ReadIndex(ctx, fleetGroup); err != nil {
		return false, err
	}
	if c.fleet.view().Doc.Revision > 0 {
		return true, nil
	}
	reply, err := c.applyFleet(ctx, fleetCommand{Change: &change})
	if err != nil {
		return false, err
	}
	c.logger.Info("bootstrap configuration written", "verdict", reply.ChangeResult.Outcome, "revision", reply.ChangeResult.Revision)
	return true, nil
}

func (b Bootstrap) change(nowMS int64) config.Change {
	c := config.Change{ChangeID: "bootstrap", Author: "bootstrap", Reason: "initial configuration from the settings", AtMS: nowMS}
	for k, v := range b.Defaults {
		c.Edits = append(c.Edits, config.Edit{Kind: config.SetDefault, Name: k, Value: v})
	}
	for _, e := range b.Exceptions {
		c.Edits = append(c.Edits, config.Edit{Kind: config.PutException, Exception: e.exception()})
	}
	for name, o := range b.Organisations {
		org := &config.Organisation{KeyHashes: append([]string(nil), o.KeyHashes...)}
		for _, k := range o.Keys {
			org.KeyHashes = append(org.KeyHashes, config.KeyHash(k))
		}
		c.Edits = append(c.Edits, config.Edit{Kind: config.PutOrganisation, Name: name, Organisation: org})
	}
	return c
}

func (e BootstrapException) exception() *config.Exception {
	return &config.Exception{
		ID: e.ID, Key: e.Key, Value: e.Value, Reason: e.Reason,
		Selector: config.Selector{
			Organisation: e.Organisation, Model: e.Model, Zone: e.Zone, Upstream: e.Upstream, Service: e.Service,
		},
	}
}

// nowMS returns the time that is written into commands, in milliseconds since
// the Unix epoch.
func nowMS() int64 { return time.Now().UnixMilli() }

// recordGroup returns the log group that holds the record of a key.
func (c *Control) recordGroup(key string) uint32 {
	return wire.KeyGroup(key, c.RecordGroups)
}
