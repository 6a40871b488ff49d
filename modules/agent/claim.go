package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/result"
)

const (
	// recordsPause is how long claims are refused at once after the records
	// could not be reached. Without it, calls that wait for a silent control
	// instance would hold every slot, also those that lookups need.
	recordsPause = time.Second
	// claimedCallLimit bounds a claimed call. It may outlast its caller, since
	// a call cut short would leave its outcome unknown.
	// claimLimit bounds a claim, which holds a slot.
	claimLimit       = 5 * time.Second
	claimedCallLimit = 2 * time.Minute
	// maxStoredAnswer bounds a generation's text in its record.
	maxStoredAnswer = 1 << 20
	statusOK        = 200
)

// errClaimUnsure marks a claim that may have been stored. The request has not
// run and will not.
var errClaimUnsure = errors.New("the answer to the claim was lost")

// claim starts the record of a key. It returns a nil record when the attempt
// may run, else the record that it lost to.
func (a *Agent) claim(ctx context.Context, args *wire.StartArgs) (*wire.Record, error) {
	if time.Now().UnixNano() < a.recordsDown.Load() {
		return nil, result.New(result.RecordsUnavailable, "the records could not be reached just now")
	}
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	unsure := false
	for {
		var reply wire.StartReply
		err := a.control.call(ctx, "Control.Start", args, &reply)
		var final *result.Error
		switch {
		case err == nil && reply.Granted:
			return nil, nil
		case err == nil:
			return &reply.Record, nil
		case errors.Is(err, errNotReceived) && !unsure:
			a.recordsDown.Store(time.Now().Add(recordsPause).UnixNano())
			return nil, result.Wrap(result.RecordsUnavailable, err, "the claim was not made").WithRan(result.NotRun)
		case errors.As(err, &final) && !retriable(final.Code):
			return nil, final
		case ctx.Err() != nil:
			return nil, result.Wrap(result.RecordsUnavailable, errors.Join(errClaimUnsure, err), "the claim was not confirmed").
				WithRan(result.NotRun)
		}
		unsure = true
		sleep(ctx, controlPause) // the answer was lost: ask again for the same attempt
	}
}

// finish stores the answer of a claimed attempt, trying until it is stored or
// the agent stops.
func (a *Agent) finish(args wire.FinishArgs) {
	a.work.Add(1)
	go func() {
		defer a.work.Add(-1)
		for a.base.Err() == nil {
			var reply wire.FinishReply
			err := a.control.call(a.base, "Control.Finish", &args, &reply)
			if err == nil {
				return
			}
			var final *result.Error
			if errors.As(err, &final) && !retriable(final.Code) {
				a.log.Error("the record does not take the answer", "error", err)
				return
			}
			sleep(a.base, controlPause)
		}
	}()
}

// claimedCall runs a call once its record is claimed, and stores its answer.
func (a *Agent) claimedCall(ctx context.Context, caller adapter.Caller, args *wire.CallArgs) (*wire.CallReply, error) {
	if args.Key == "" {
		return nil, result.New(result.InvalidField, "key: a call that is not idempotent needs one").WithRan(result.NotRun)
	}
	record, err := a.claim(ctx, &wire.StartArgs{
		Key: args.Key, Attempt: args.Attempt, IssuedMS: args.IssuedMS, BodyHash: args.BodyHash,
		Agent: a.instance.ID, Incarnation: a.incarnation,
	})
	if errors.Is(err, errClaimUnsure) {
		// A record that was started anyway gets this answer, so that the key
		// does not read as running for a day.
		a.finish(answerOf(args, nil, err))
	}
	if err != nil {
		return nil, err
	}
	if record != nil {
		return stored(record, args)
	}
	ctx, cancel := context.WithTimeout(a.base, claimedCallLimit)
	defer cancel()
	reply, err := caller.Call(ctx, args)
	a.finish(answerOf(args, reply, err))
	return reply, err
}

// stored answers a call that lost the claim.
func stored(r *wire.Record, args *wire.CallArgs) (*wire.CallReply, error) {
	switch {
	case r.BodyHash != "" && r.BodyHash != args.BodyHash:
		return nil, result.New(result.KeyReused, "the key belongs to another call").WithRan(result.NotRun)
	case r.State == wire.RecordFinished:
		return &wire.CallReply{Status: r.Status, Headers: r.Headers, Body: r.Body, Replayed: true}, nil
	case r.State == wire.RecordAborted:
		return nil, result.New(result.Superseded, "the attempt was aborted").WithRan(result.NotRun)
	default:
		return nil, result.New(result.CallInProgress, "attempt %s was started on %s", r.Attempt, r.Agent)
	}
}

// answerOf is what a record keeps. A failure is kept too, as the answer that a
// caller would have got: the key cannot be run again.
func answerOf(args *wire.CallArgs, reply *wire.CallReply, err error) wire.FinishArgs {
	f := wire.FinishArgs{Key: args.Key, Attempt: args.Attempt}
	if err == nil {
		f.Status, f.Headers, f.Body = reply.Status, reply.Headers, reply.Body
		return f
	}
	e := result.From(err)
	if e.Ran != result.NotRun {
		e = result.New(result.OutcomeUnknown, "%s", e.Message)
	}
	f.Status = e.Code.Info().HTTP
	f.Headers = []wire.Header{{Key: "Content-Type", Value: "application/json"}}
	f.Body, _ = json.Marshal(map[string]any{"error": map[string]any{ // plain values always encode
		"code": e.Code, "name": e.Code.String(), "message": e.Message, "ran": e.Ran.String(), "request_id": args.RequestID,
	}})
	return f
}

// answer is the stored form of a whole generation.
type answer struct {
	Text         string `json:"text"`
	Tokens       uint32 `json:"tokens"`
	Finish       string `json:"finish"`
	PromptTokens uint32 `json:"prompt_tokens"`
	CachedTokens uint32 `json:"cached_tokens"`
}

// claim starts the record of a generation with a key. Done is set when the
// generation is not to run here; its last frame is then set.
func (r *run) claim(ctx context.Context) (done bool, err error) {
	req := r.g.request
	if req.Key == "" || r.claimed != "" {
		return false, nil
	}
	args := &wire.StartArgs{
		Key: req.Key, Attempt: wire.NewID(), IssuedMS: r.g.received.UnixMilli(), BodyHash: req.Fingerprint,
		Agent: r.a.instance.ID, Incarnation: r.a.incarnation, Generation: req.Generation, Takeover: req.Takeover,
	}
	record, err := r.a.claim(ctx, args)
	if err == nil && record != nil && !args.Takeover && r.abandoned(record) {
		args.Takeover = true
		record, err = r.a.claim(ctx, args)
	}
	if err != nil {
		return false, err
	}
	if record == nil {
		r.claimed = args.Attempt
		return false, nil
	}
	return true, r.yield(record)
}

// abandoned tells whether a started record belongs to this generation, which
// the entry has moved here, or to an earlier life of this agent.
func (r *run) abandoned(record *wire.Record) bool {
	if record.State != wire.RecordStarted || record.BodyHash != r.g.request.Fingerprint {
		return false
	}
	return record.Generation == r.g.id ||
		record.Agent == r.a.instance.ID && record.Incarnation != r.a.incarnation
}

// yield ends a generation whose key another attempt holds.
func (r *run) yield(record *wire.Record) error {
	switch {
	case record.BodyHash != r.g.request.Fingerprint:
		return result.New(result.KeyReused, "the key belongs to another request").WithRan(result.NotRun)
	case record.State == wire.RecordStarted:
		r.g.out.finish(wire.Frame{Kind: wire.FrameRedirect, Text: record.Agent, Generation: record.Generation})
		return nil
	case record.State != wire.RecordFinished:
		return result.New(result.Superseded, "the attempt was aborted").WithRan(result.NotRun)
	}
	var old answer
	if err := json.Unmarshal(record.Body, &old); err != nil {
		return result.New(result.GenerationLost, "the text of the finished generation is not kept")
	}
	return r.replay(old)
}

// replay gives the reader the stored text behind what it already has.
func (r *run) replay(old answer) error {
	text, tokens := r.g.out.held()
	if uint64(old.Tokens) < tokens || len(old.Text) < len(text) || old.Text[:len(text)] != text {
		return result.New(result.GenerationLost, "the stored text does not continue the given one")
	}
	ev := adapter.Event{
		Text: old.Text[len(text):], Tokens: old.Tokens - uint32(tokens),
		PromptTokens: old.PromptTokens, CachedTokens: old.CachedTokens,
	}
	if err := r.g.out.append(r.ctx, ev); err != nil {
		return err
	}
	r.g.out.finish(wire.Frame{Kind: wire.FrameEnd, Finish: old.Finish})
	return nil
}

// store keeps the text of a finished generation under its key.
func (r *run) store(finish string) {
	if r.claimed == "" {
		return
	}
	text, tokens := r.g.out.held()
	args := wire.FinishArgs{Key: r.g.request.Key, Attempt: r.claimed, Status: statusOK}
	if len(text) <= maxStoredAnswer {
		prompt, cached := r.g.out.usage()
		args.Body, _ = json.Marshal(answer{text, uint32(tokens), finish, prompt, cached}) // plain values always encode
	}
	r.a.finish(args)
}
