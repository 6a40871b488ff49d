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
	// recordsCooldown is how long claims fail immediately after the records could
	// not be reached. Without it, calls that wait for an unresponsive control
	// instance would occupy every slot, including those that idempotent calls need.
	recordsCooldown = time.Second
	// claimTimeout bounds a claim, which occupies a slot. claimedCallTimeout bounds
	// a claimed call. Such a call may go on after its caller's deadline, since the
	// outcome of an interrupted call would be unknown.
	claimTimeout       = 5 * time.Second
	claimedCallTimeout = 2 * time.Minute
	// maxStoredText bounds the text of a generation that is stored in its record.
	maxStoredText = 1 << 20
	statusOK      = 200
)

// errClaimUnconfirmed marks a claim that control may have stored without the
// agent receiving the reply. The request has not run and will not run.
var errClaimUnconfirmed = errors.New("the answer to the claim was lost")

// claimKey claims an idempotency key by starting its record. It returns nil if the
// attempt may run, and otherwise the record of the attempt that holds the key.
func (a *Agent) claimKey(ctx context.Context, args *wire.StartArgs) (*wire.Record, error) {
	if time.Now().UnixNano() < a.recordsRetryAt.Load() {
		return nil, result.New(result.RecordsUnavailable, "the records could not be reached just now")
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	mayBeStored := false
	for {
		var reply wire.StartReply
		err := a.control.call(ctx, "Control.Start", args, &reply)
		var refusal *result.Error
		switch {
		case err == nil && reply.Granted:
			return nil, nil
		case err == nil:
			return &reply.Record, nil
		case errors.Is(err, errNotReceived) && !mayBeStored:
			a.recordsRetryAt.Store(time.Now().Add(recordsCooldown).UnixNano())
			return nil, result.Wrap(result.RecordsUnavailable, err, "the claim was not made").WithRan(result.NotRun)
		case errors.As(err, &refusal) && !retriable(refusal.Code):
			return nil, refusal
		case ctx.Err() != nil:
			return nil, result.Wrap(result.RecordsUnavailable, errors.Join(errClaimUnconfirmed, err), "the claim was not confirmed").
				WithRan(result.NotRun)
		}
		mayBeStored = true
		sleep(ctx, controlRetryDelay) // the reply was lost: repeat the claim for the same attempt
	}
}

// storeAnswer stores the answer of a claimed attempt in its record. It retries in
// the background until control has accepted it or the agent stops.
func (a *Agent) storeAnswer(args wire.FinishArgs) {
	a.activeWork.Add(1)
	go func() {
		defer a.activeWork.Add(-1)
		for a.baseCtx.Err() == nil {
			var reply wire.FinishReply
			err := a.control.call(a.baseCtx, "Control.Finish", &args, &reply)
			if err == nil {
				return
			}
			var refusal *result.Error
			if errors.As(err, &refusal) && !retriable(refusal.Code) {
				a.log.Error("control refused to store the answer of a claimed request", "error", err)
				return
			}
			sleep(a.baseCtx, controlRetryDelay)
		}
	}()
}

// claimedCall claims the key of a call, runs the call and stores its answer.
func (a *Agent) claimedCall(ctx context.Context, caller adapter.Caller, args *wire.CallArgs) (*wire.CallReply, error) {
	if args.Key == "" {
		return nil, result.New(result.InvalidField, "key: a call that is not idempotent needs one").WithRan(result.NotRun)
	}
	record, err := a.claimKey(ctx, &wire.StartArgs{
		Key: args.Key, Attempt: args.Attempt, IssuedMS: args.IssuedMS, BodyHash: args.BodyHash,
		Agent: a.instance.ID, Incarnation: a.incarnation,
	})
	if errors.Is(err, errClaimUnconfirmed) {
		// If control has stored the claim, this answer finishes its record;
		// otherwise the key would be reported as running for a day.
		a.storeAnswer(finishArgsFor(args, nil, err))
	}
	if err != nil {
		return nil, err
	}
	if record != nil {
		return replyFromRecord(record, args)
	}
	ctx, cancel := context.WithTimeout(a.baseCtx, claimedCallTimeout)
	defer cancel()
	reply, err := caller.Call(ctx, args)
	a.storeAnswer(finishArgsFor(args, reply, err))
	return reply, err
}

// replyFromRecord answers a call whose key another attempt holds.
func replyFromRecord(r *wire.Record, args *wire.CallArgs) (*wire.CallReply, error) {
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

// finishArgsFor returns the answer of a call as it is stored in the record. A
// failure is stored as the error response that the caller would have received,
// since the call cannot run again under the same key.
func finishArgsFor(args *wire.CallArgs, reply *wire.CallReply, err error) wire.FinishArgs {
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

// storedGeneration is the stored form of a finished generation.
type storedGeneration struct {
	Text         string `json:"text"`
	Tokens       uint32 `json:"tokens"`
	Finish       string `json:"finish"`
	PromptTokens uint32 `json:"prompt_tokens"`
	CachedTokens uint32 `json:"cached_tokens"`
}

// claimKey claims the key of a generation that has one. It returns done when
// another attempt holds the key; the output then has its final frame.
func (r *run) claimKey(ctx context.Context) (done bool, err error) {
	req := r.g.request
	if req.Key == "" || r.claimedAttempt != "" {
		return false, nil
	}
	args := &wire.StartArgs{
		Key: req.Key, Attempt: wire.NewID(), IssuedMS: r.g.received.UnixMilli(), BodyHash: req.Fingerprint,
		Agent: r.a.instance.ID, Incarnation: r.a.incarnation, Generation: req.Generation, Takeover: req.Takeover,
	}
	record, err := r.a.claimKey(ctx, args)
	if err == nil && record != nil && !args.Takeover && r.canTakeOver(record) {
		args.Takeover = true
		record, err = r.a.claimKey(ctx, args)
	}
	if err != nil {
		return false, err
	}
	if record == nil {
		r.claimedAttempt = args.Attempt
		return false, nil
	}
	return true, r.answerFromRecord(record)
}

// canTakeOver reports whether a started record may be taken over: it belongs to
// this generation, which the entry has moved to this agent, or to an earlier
// incarnation of this agent.
func (r *run) canTakeOver(record *wire.Record) bool {
	if record.State != wire.RecordStarted || record.BodyHash != r.g.request.Fingerprint {
		return false
	}
	return record.Generation == r.g.id ||
		record.Agent == r.a.instance.ID && record.Incarnation != r.a.incarnation
}

// answerFromRecord ends a generation whose key another attempt holds: with the
// stored text if that attempt has finished, with a redirect if it is running.
func (r *run) answerFromRecord(record *wire.Record) error {
	switch {
	case record.BodyHash != r.g.request.Fingerprint:
		return result.New(result.KeyReused, "the key belongs to another request").WithRan(result.NotRun)
	case record.State == wire.RecordStarted:
		r.g.out.finish(wire.Frame{Kind: wire.FrameRedirect, Text: record.Agent, Generation: record.Generation})
		return nil
	case record.State != wire.RecordFinished:
		return result.New(result.Superseded, "the attempt was aborted").WithRan(result.NotRun)
	}
	var stored storedGeneration
	if err := json.Unmarshal(record.Body, &stored); err != nil {
		return result.New(result.GenerationLost, "the text of the finished generation is not kept")
	}
	return r.replay(stored)
}

// replay sends the reader the part of the stored text that follows its prefix.
func (r *run) replay(stored storedGeneration) error {
	text, tokens := r.g.out.content()
	if uint64(stored.Tokens) < tokens || len(stored.Text) < len(text) || stored.Text[:len(text)] != text {
		return result.New(result.GenerationLost, "the stored text does not continue the given one")
	}
	ev := adapter.Event{
		Text: stored.Text[len(text):], Tokens: stored.Tokens - uint32(tokens),
		PromptTokens: stored.PromptTokens, CachedTokens: stored.CachedTokens,
	}
	if err := r.g.out.append(r.ctx, ev); err != nil {
		return err
	}
	r.g.out.finish(wire.Frame{Kind: wire.FrameEnd, Finish: stored.Finish})
	return nil
}

// storeText stores the text of a finished generation in the record of its key.
func (r *run) storeText(finish string) {
	if r.claimedAttempt == "" {
		return
	}
	text, tokens := r.g.out.content()
	args := wire.FinishArgs{Key: r.g.request.Key, Attempt: r.claimedAttempt, Status: statusOK}
	if len(text) <= maxStoredText {
		prompt, cached := r.g.out.usage()
		args.Body, _ = json.Marshal(storedGeneration{text, uint32(tokens), finish, prompt, cached}) // plain values always encode
	}
	r.a.storeAnswer(args)
}
