package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// callAdmin makes one call to the admin service of control instance i.
func (cl *cluster) callAdmin(i int, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	c := cl.security.NewClient(cl.Control[i])
	defer c.Close()
	return c.Call(ctx, wire.AdminService+"."+method, args, reply)
}

// checkControlFormed returns an error unless every control instance is a voter
// in every Raft group.
func (cl *cluster) checkControlFormed() error {
	var reply wire.StatusReply
	if err := cl.callAdmin(0, "Status", wire.StatusArgs{}, &reply); err != nil {
		return err
	}
	voters := 0
	for _, m := range reply.Members {
		if m.Error != "" {
			return fmt.Errorf("%s: %s", m.Instance, m.Error)
		}
		for _, g := range m.Groups {
			if g.Leader == "" || g.Role == "learner" || g.Voters < len(cl.Control) {
				return fmt.Errorf("%s is %s in group %d with leader %q and %d voters", m.Instance, g.Role, g.Group, g.Leader, g.Voters)
			}
		}
		if len(m.Groups) > 0 {
			voters++
		}
	}
	if voters < len(cl.Control) {
		return fmt.Errorf("%d of %d control instances are voters", voters, len(cl.Control))
	}
	return nil
}

// leader returns the index of the leader of group 0 according to instance i.
func (cl *cluster) leader(i int) int {
	cl.t.Helper()
	found := -1
	eventually(cl.t, startTimeout, "leader of group 0", func() error {
		var reply wire.StatusReply
		if err := cl.callAdmin(i, "Status", wire.StatusArgs{}, &reply); err != nil {
			return err
		}
		for _, m := range reply.Members {
			for _, g := range m.Groups {
				if g.Group == 0 && g.Role == "leader" && m.Error == "" {
					_, err := fmt.Sscanf(m.Instance, "control-%d", &found)
					return err
				}
			}
		}
		return fmt.Errorf("no leader")
	})
	return found
}

func (cl *cluster) readConfiguration(i int) (*config.Document, error) {
	var reply wire.ConfigurationReply
	if err := cl.callAdmin(i, "Configuration", wire.ConfigurationArgs{}, &reply); err != nil {
		return nil, err
	}
	var d config.Document
	return &d, json.Unmarshal(reply.Document, &d)
}

// proposeChange proposes a configuration change that sets one exception on top
// of a base revision.
func (cl *cluster) proposeChange(i int, id string, base uint64, value int) (wire.ChangeReply, error) {
	b, err := json.Marshal(config.Change{
		ChangeID: id, BaseRevision: base, Author: "e2e", Reason: "test", AtMS: time.Now().UnixMilli(),
		Edits: []config.Edit{{Kind: config.PutException, Exception: &config.Exception{
			ID: id, Key: "queue.limit", Value: strconv.Itoa(value), Reason: "test",
			Selector: config.Selector{Upstream: id},
		}}},
	})
	if err != nil {
		return wire.ChangeReply{}, err
	}
	var reply wire.ChangeReply
	return reply, cl.callAdmin(i, "Change", wire.ChangeArgs{Change: b}, &reply)
}

// changeUntilAccepted makes one change the way an operator would: it reads the
// current revision, and retries with the same change id when the response is
// lost.
func (cl *cluster) changeUntilAccepted(id string, value int) error {
	deadline := time.Now().Add(startTimeout)
	var lastErr error
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		i := attempt % len(cl.Control)
		d, err := cl.readConfiguration(i)
		if err != nil {
			lastErr = err
			continue
		}
		r, err := cl.proposeChange(i, id, d.Revision, value)
		for tries := 0; err != nil && tries < 2*len(cl.Control); tries++ {
			r, err = cl.proposeChange((i+1+tries)%len(cl.Control), id, d.Revision, value)
		}
		switch {
		case err != nil:
			lastErr = err
		case r.Accepted:
			return nil
		case r.Code == result.RevisionConflict:
			id += "-again" // only a retry reuses the id; a change on a newer revision is a new one
		default:
			return fmt.Errorf("refused: %v", r.Problems)
		}
	}
	return lastErr
}

func (cl *cluster) readExceptions(i int) (map[string]string, uint64, error) {
	d, err := cl.readConfiguration(i)
	if err != nil {
		return nil, 0, err
	}
	exceptions := map[string]string{}
	for _, e := range d.Exceptions {
		exceptions[e.ID] = e.Value
	}
	return exceptions, d.Revision, nil
}

// waitForRevision waits until every entry has applied the revision or a newer one.
func (cl *cluster) waitForRevision(revision uint64) {
	cl.t.Helper()
	for i := range cl.Entries {
		eventually(cl.t, startTimeout, "entries apply the configuration", func() error {
			applied, err := cl.entryRevision(i)
			if err == nil && applied < revision {
				err = fmt.Errorf("entry %d has applied revision %d, want %d", i, applied, revision)
			}
			return err
		})
	}
}

func (cl *cluster) entryRevision(i int) (uint64, error) {
	r, err := cl.entryStatus(i)
	return r.Revision, err
}

var controlSpec = clusterSpec{control: 3, entries: 2}

// changeDuringFault makes a series of changes, injects a fault after a third of
// them, and checks that every accepted change is in effect at the end.
func changeDuringFault(t *testing.T, changes int, fault func(cl *cluster)) *cluster {
	cl := startCluster(t, controlSpec)
	for n := range changes {
		if n == changes/3 {
			fault(cl)
		}
		assert.NilError(t, cl.changeUntilAccepted(fmt.Sprintf("change-%d", n), n+1))
	}
	cl.checkChanges(changes)
	return cl
}

func (cl *cluster) checkChanges(changes int) {
	cl.t.Helper()
	exceptions, revision, err := cl.readExceptions(0)
	for i := 1; err != nil && i < len(cl.Control); i++ {
		exceptions, revision, err = cl.readExceptions(i)
	}
	assert.NilError(cl.t, err)
	found := map[string]bool{}
	for _, v := range exceptions {
		found[v] = true
	}
	for n := range changes {
		if !found[strconv.Itoa(n+1)] {
			cl.t.Errorf("accepted change %d is missing from the configuration", n)
		}
	}
	cl.waitForRevision(revision)
}

// Guards against changes that are lost or applied twice when the leader is
// killed and restarted while changes are being made.
func TestChangesWhileLeaderDies(t *testing.T) {
	changeDuringFault(t, 60, func(cl *cluster) {
		p := cl.processes[fmt.Sprintf("control-%d", cl.leader(0))]
		p.kill()
		time.AfterFunc(2*time.Second, p.restart)
	})
}

// Guards against a leader that was stopped with SIGSTOP and serves or writes
// stale state after it continues.
func TestChangesWhileLeaderIsFrozen(t *testing.T) {
	frozen := -1
	cl := changeDuringFault(t, 60, func(cl *cluster) {
		frozen = cl.leader(0)
		cl.processes[fmt.Sprintf("control-%d", frozen)].signal(syscall.SIGSTOP)
	})
	_, revision, err := cl.readExceptions((frozen + 1) % 3)
	assert.NilError(t, err)
	cl.processes[fmt.Sprintf("control-%d", frozen)].signal(syscall.SIGCONT)
	var d *config.Document
	eventually(t, startTimeout, "the continued instance answers", func() error {
		d, err = cl.readConfiguration(frozen)
		return err
	})
	assert.Assert(t, d.Revision >= revision, "the continued leader served revision %d as current, but %d was accepted before", d.Revision, revision)
	cl.checkChanges(60)
}

// Guards against the loss of accepted changes when one instance loses its disk
// and the leader is killed right after the first instance has become a voter
// again.
func TestDiskLostThenSecondLoss(t *testing.T) {
	cl := changeDuringFault(t, 30, func(*cluster) {})
	replaced := (cl.leader(0) + 1) % 3
	p := cl.processes[fmt.Sprintf("control-%d", replaced)]
	p.kill()
	assert.NilError(t, os.RemoveAll(filepath.Join(cl.dir, p.name)))
	p.restart()
	other := (replaced + 1) % 3
	eventually(t, startTimeout, "the instance that lost its disk is a voter again", func() error {
		var r wire.StatusReply
		if err := cl.callAdmin(other, "Status", wire.StatusArgs{}, &r); err != nil {
			return err
		}
		return checkVoter(&r, replaced)
	})
	cl.processes[fmt.Sprintf("control-%d", cl.leader(other))].kill()
	assert.NilError(t, cl.changeUntilAccepted("after", 1000))
	cl.checkChanges(30)
}

func checkVoter(reply *wire.StatusReply, i int) error {
	for _, m := range reply.Members {
		if m.Instance != fmt.Sprintf("control-%d", i) {
			continue
		}
		for _, g := range m.Groups {
			if g.Role == "learner" {
				return fmt.Errorf("%s is %s in group %d", m.Instance, g.Role, g.Group)
			}
		}
		if len(m.Groups) == 3 {
			return nil
		}
		return fmt.Errorf("%s: %d groups, %s", m.Instance, len(m.Groups), m.Error)
	}
	return fmt.Errorf("control-%d is missing from the status", i)
}

// Guards against several operators changing the same revision and more than one
// being told that the change was accepted, and against a retried change that
// gets another response.
func TestOperatorsRace(t *testing.T) {
	cl := startCluster(t, controlSpec)
	d, err := cl.readConfiguration(0)
	assert.NilError(t, err)
	replies := make([]wire.ChangeReply, 6)
	var wg sync.WaitGroup
	for n := range replies {
		wg.Go(func() {
			r, err := cl.proposeChange(n%3, fmt.Sprintf("race-%d", n), d.Revision, n+1)
			if err != nil {
				t.Errorf("operator %d: %v", n, err)
			}
			replies[n] = r
		})
	}
	wg.Wait()
	winner := ""
	for n, r := range replies {
		if r.Accepted {
			assert.Equal(t, winner, "", "more than one change was accepted")
			winner = fmt.Sprintf("race-%d", n)
		}
	}
	assert.Assert(t, winner != "", "no change was accepted")
	for n, r := range replies {
		repeated, err := cl.proposeChange((n+1)%3, fmt.Sprintf("race-%d", n), d.Revision, n+1)
		assert.NilError(t, err)
		assert.DeepEqual(t, repeated, r)
		if !r.Accepted {
			assert.Equal(t, r.Code, result.RevisionConflict)
			assert.Equal(t, r.Winner, winner)
		}
	}
}

// Guards against lost state or a hanging start when all control instances
// restart after hundreds of changes.
func TestRestartAfter500Changes(t *testing.T) {
	cl := startCluster(t, controlSpec)
	const changes = 500
	for n := range changes {
		assert.NilError(t, cl.changeUntilAccepted(fmt.Sprintf("change-%d", n), n+1))
	}
	_, before, err := cl.readExceptions(0)
	assert.NilError(t, err)
	for i := range cl.Control {
		cl.processes[fmt.Sprintf("control-%d", i)].kill()
	}
	restarted := time.Now()
	for i := range cl.Control {
		cl.processes[fmt.Sprintf("control-%d", i)].restart()
	}
	var after uint64
	eventually(t, startTimeout, "a control instance answers", func() error {
		_, after, err = cl.readExceptions(0)
		return err
	})
	t.Logf("control instance answered %v after the restart", time.Since(restarted).Round(time.Millisecond))
	assert.Assert(t, after >= before, "revision went back from %d to %d", before, after)
	cl.checkChanges(changes)
}
