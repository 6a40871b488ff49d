// Package design describes the public HTTP interface of heatherway. The
// packages under gen are generated from it with "goa gen".
package design

import (
	. "goa.design/goa/v3/dsl" //nolint:revive // goa designs are written with a dot import

	"heatherway.dev/api/failures"
)

var _ = API("heatherway", func() {
	Title("heatherway")
	Description("Serving of long language-model generations and plain services on upstreams that can fail.")
	Version("1")
	Server("heatherway", func() {
		Services("generation", "services", "health")
		Host("local", func() { URI("http://127.0.0.1:8080") })
	})
})

// Streamed is the head of a reply whose body the service writes itself, since
// the same route answers whole or as an event stream.
var Streamed = Type("Streamed", func() {
	Attribute("content_type", String)
	Attribute("request_id", String)
	Attribute("replayed", String, "true when the answer was stored by an earlier call with the same Idempotency-Key")
	Required("content_type", "request_id")
})

func callerHeaders() {
	Attribute("authorization", String, "Bearer key of the organisation")
	Attribute("idempotency_key", String, "Names the request, so that sending it again does not run it twice", func() { MaxLength(255) })
	Attribute("class", String, "Priority class", func() { Enum("urgent", "standard", "batch") })
	Attribute("deadline_ms", Int64, "Time limit for the whole answer in milliseconds", func() { Minimum(1) })
	Attribute("last_event_id", String, "Id of the last event received; the stream goes on behind it", func() { MaxLength(255) })
	Attribute("request_id", String, "Request id for the logs", func() { MaxLength(128) })
}

func callerHeaderMapping() {
	Header("authorization:Authorization")
	Header("idempotency_key:Idempotency-Key")
	Header("class:X-Heatherway-Class")
	Header("deadline_ms:X-Heatherway-Deadline-Ms")
	Header("last_event_id:Last-Event-ID")
	Header("request_id:X-Request-Id")
}

func streamedResponse() {
	SkipResponseBodyEncodeDecode()
	Response(StatusOK, func() {
		Header("content_type:Content-Type")
		Header("request_id:X-Request-Id")
		Header("replayed:X-Heatherway-Replayed")
	})
}

func samplingAttributes() {
	Attribute("model", String, "Model name", func() { MinLength(1); MaxLength(255) })
	Attribute("max_tokens", Int, "Most tokens to generate", func() { Minimum(1) })
	Attribute("temperature", Float64, "Sampling temperature", func() { Minimum(0); Maximum(2) })
	Attribute("seed", Int64, "Sampling seed")
	Attribute("n", Int, "Number of answers; only 1 is supported", func() { Minimum(1); Maximum(1) })
	Attribute("stream", Boolean, "Answer as an event stream")
}

// CompletionPayload is the body and headers of a completion request. Fields
// not listed are passed to the engine unchanged.
var CompletionPayload = Type("CompletionPayload", func() {
	callerHeaders()
	samplingAttributes()
	Attribute("prompt", String, "Prompt text")
	Required("model", "prompt")
})

// ChatMessage is one message of a chat.
var ChatMessage = Type("ChatMessage", func() {
	Attribute("role", String)
	Attribute("content", Any, "Text or content parts")
	Required("role")
})

// ChatPayload is the body and headers of a chat completion request.
var ChatPayload = Type("ChatPayload", func() {
	callerHeaders()
	samplingAttributes()
	Attribute("messages", ArrayOf(ChatMessage), func() { MinLength(1) })
	Required("model", "messages")
})

var _ = Service("generation", func() {
	Description("OpenAI-compatible generation.")
	failures.Declare()
	Method("complete", func() {
		Payload(CompletionPayload)
		Result(Streamed)
		HTTP(func() {
			POST("/v1/completions")
			callerHeaderMapping()
			streamedResponse()
		})
	})
	Method("chat", func() {
		Payload(ChatPayload)
		Result(Streamed)
		HTTP(func() {
			POST("/v1/chat/completions")
			callerHeaderMapping()
			streamedResponse()
		})
	})
	Method("models", func() {
		Payload(func() { Attribute("authorization", String) })
		Result(ModelList)
		HTTP(func() {
			GET("/v1/models")
			Header("authorization:Authorization")
		})
	})
})

// Model names one served model.
var Model = Type("Model", func() {
	Attribute("id", String)
	Attribute("object", String)
	Attribute("owned_by", String)
	Required("id", "object", "owned_by")
})

// ModelList is the OpenAI list of models.
var ModelList = Type("ModelList", func() {
	Attribute("object", String)
	Attribute("data", ArrayOf(Model))
	Required("object", "data")
})

var _ = Service("services", func() {
	Description("Calls of plain services behind heatherway.")
	failures.Declare()
	Method("call", func() {
		Payload(func() {
			callerHeaders()
			Attribute("service", String, "Service name")
			Attribute("path", String, "Path below the service")
			Attribute("repeat", String, "Whether the call may be repeated", func() { Enum("yes", "no") })
			Attribute("content_type", String)
			Required("service", "path")
		})
		Result(func() {
			Attribute("status", String, "HTTP status of the service, chosen by the upstream")
			Attribute("content_type", String)
			Attribute("request_id", String)
			Attribute("replayed", String)
			Required("status", "content_type", "request_id")
		})
		HTTP(func() {
			for _, verb := range []func(string) any{
				func(p string) any { return GET(p) },
				func(p string) any { return POST(p) },
				func(p string) any { return PUT(p) },
				func(p string) any { return DELETE(p) },
				func(p string) any { return PATCH(p) },
			} {
				verb("/v1/services/{service}/{*path}")
			}
			callerHeaderMapping()
			Header("repeat:X-Heatherway-Repeat")
			Header("content_type:Content-Type")
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("status:X-Heatherway-Upstream-Status")
				Header("content_type:Content-Type")
				Header("request_id:X-Request-Id")
				Header("replayed:X-Heatherway-Replayed")
			})
		})
	})
})

var _ = Service("health", func() {
	Description("Liveness and readiness for the balancer.")
	failures.Declare()
	Method("live", func() {
		HTTP(func() { GET("/healthz"); Response(StatusNoContent) })
	})
	Method("ready", func() {
		HTTP(func() { GET("/readyz"); Response(StatusNoContent) })
	})
})
