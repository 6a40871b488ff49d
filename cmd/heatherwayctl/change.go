package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// operator holds the flags that name the operator and the reason of an action.
type operator struct{ author, reason string }

func (p *operator) register(flags *flag.FlagSet) {
	flags.StringVar(&p.author, "author", os.Getenv("USER"), "who makes the change")
	flags.StringVar(&p.reason, "reason", "", "why; required")
}

func (p *operator) check() error {
	if p.author == "" || strings.TrimSpace(p.reason) == "" {
		return result.New(result.Usage, "give --author and --reason before the arguments; both go into the audit log")
	}
	return nil
}

// changeFlags holds the flags of a configuration change.
type changeFlags struct {
	operator
	id        string
	base      uint64
	wait      bool
	waitLimit time.Duration
}

const (
	// defaultWait is longer than the 17 s within which a change must be in force.
	defaultWait  = 30 * time.Second
	waitInterval = 200 * time.Millisecond
)

func (c *changeFlags) register(flags *flag.FlagSet) {
	c.operator.register(flags)
	flags.StringVar(&c.id, "change-id", "", "name of the change; sent again, it gets its first answer (random by default)")
	flags.Uint64Var(&c.base, "base", 0, "revision that the change was written for (the one in force by default)")
	flags.BoolVar(&c.wait, "wait", false, "wait until every instance runs the new revision")
	flags.DurationVar(&c.waitLimit, "wait-limit", defaultWait, "how long --wait waits")
}

// changeResult is the output of an accepted change.
type changeResult struct {
	ChangeID string `json:"change_id"`
	Revision uint64 `json:"revision"`
	// Behind lists the instances that don't run the revision after --wait.
	Behind []string `json:"behind,omitempty"`
}

// prepare checks the flags and sets the defaults. Without --base it reads the
// revision in force.
func (c *changeFlags) prepare(ctx context.Context, a *api) error {
	if err := c.check(); err != nil {
		return err
	}
	if c.id == "" {
		c.id = string(wire.NewID())
	}
	if c.base != 0 {
		return nil
	}
	var doc struct {
		Revision uint64 `json:"revision"`
	}
	_, err := a.get(ctx, &doc, "configuration")
	c.base = doc.Revision
	return err
}

// send proposes a change. Author, reason, id and base revision are added to the
// body, or sent in the query if body is nil.
func (c *changeFlags) send(ctx context.Context, a *api, r request, body map[string]any) error {
	if err := c.prepare(ctx, a); err != nil {
		return err
	}
	if body == nil {
		r.query = url.Values{
			"author": {c.author}, "reason": {c.reason}, "change_id": {c.id}, "base_revision": {strconv.FormatUint(c.base, 10)},
		}
	} else {
		body["author"], body["reason"], body["change_id"], body["base_revision"] = c.author, c.reason, c.id, c.base
		r.body = body
	}
	raw, err := a.do(ctx, r)
	if err != nil {
		fmt.Fprintf(a.err, "heatherwayctl: to send the same change again: --change-id %s --base %d\n", c.id, c.base)
		return err
	}
	var done changeResult
	if err := json.Unmarshal(raw, &done); err != nil {
		return errors.Wrap(err, "decode the answer")
	}
	return c.finish(ctx, a, done)
}

// edit proposes one edit.
func (c *changeFlags) edit(ctx context.Context, a *api, edit map[string]any) error {
	r := request{method: http.MethodPost, path: []string{"configuration", "changes"}}
	return c.send(ctx, a, r, map[string]any{"edits": []any{edit}})
}

func (c *changeFlags) finish(ctx context.Context, a *api, done changeResult) error {
	var err error
	if c.wait {
		done.Behind, err = awaitRevision(ctx, a, done.Revision, c.waitLimit)
		if err != nil {
			return err
		}
	}
	raw, err := json.Marshal(done)
	if err != nil {
		return errors.Wrap(err, "encode the answer")
	}
	t := newTable("CHANGE", "REVISION")
	t.add(done.ChangeID, done.Revision)
	if err := a.print(raw, t); err != nil {
		return err
	}
	if len(done.Behind) > 0 {
		return errors.Errorf("revision %d is accepted, but not yet in force at %s; see heatherwayctl instances", done.Revision, strings.Join(done.Behind, ", "))
	}
	return nil
}

// awaitRevision waits until all instances run the revision. It returns those
// that don't when the limit has passed.
func awaitRevision(ctx context.Context, a *api, revision uint64, limit time.Duration) ([]string, error) {
	for end := time.Now().Add(limit); ; {
		st, _, err := a.status(ctx)
		if err != nil {
			return nil, errors.Wrapf(err, "revision %d is accepted, but the status of the instances can't be read", revision)
		}
		var behind []string
		for _, i := range st.Instances {
			if i.Revision < revision {
				behind = append(behind, i.Instance)
			}
		}
		if len(behind) == 0 || time.Now().After(end) {
			return behind, nil
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			return behind, nil
		}
	}
}
