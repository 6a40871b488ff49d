// Package design describes the administration HTTP interface of heatherway. It
// is a goa API of its own, so that the OpenAPI document of the caller API lists
// no operators' calls. The packages under api/admin/gen are generated from it.
package design

import (
	. "goa.design/goa/v3/dsl" //nolint:revive // goa designs are written with a dot import

	"heatherway.dev/api/failures"
)

var _ = API("heatherway-admin", func() {
	Title("heatherway administration")
	Description("Operators' view of the fleet, and changes with an author and a reason.")
	Version("1")
	Server("heatherway-admin", func() {
		Services("administration")
		Host("local", func() { URI("http://127.0.0.1:8090") })
	})
})

// maxText is the longest id, name or reason in bytes, as core/config has it.
const maxText = 1024

// maxEdits is the most edits of one change, as core/config has it.
const maxEdits = 500

// Bounds of the list of past changes. Control keeps the answers of 4,096.
const (
	defaultHistory = 50
	maxHistory     = 4096
)

func author() {
	Attribute("author", String, "Who makes the change; the audit log also has the name in the certificate", text)
	Attribute("reason", String, "Why; required", text)
}

func text() { MinLength(1); MaxLength(maxText) }

func changeHead() {
	author()
	Attribute("change_id", String, "Names the change; sent again, it gets its first answer", text)
	Attribute("base_revision", UInt64, "Revision that the author saw")
}

// required lists what every change of the configuration carries.
var required = []string{"author", "reason", "change_id", "base_revision"}

// Group is the state of one log group at a control instance.
var Group = Type("Group", func() {
	Attribute("group", UInt32)
	Attribute("role", String)
	Attribute("term", UInt64)
	Attribute("leader", String)
	Attribute("commit", UInt64)
	Attribute("applied", UInt64)
	Attribute("voters", Int, "Members with a vote")
	Required("group", "role", "term", "leader", "commit", "applied", "voters")
})

// Member is one control instance.
var Member = Type("Member", func() {
	Attribute("instance", String)
	Attribute("address", String)
	Attribute("error", String, "Why the instance did not answer; empty if it did")
	Attribute("groups", ArrayOf(Group))
	Required("instance", "address", "error", "groups")
})

// Instance is a process that reports to control.
var Instance = Type("Instance", func() {
	Attribute("instance", String)
	Attribute("role", String)
	Attribute("zone", String)
	Attribute("revision", UInt64, "Revision that the process runs")
	Attribute("age_ms", Int64, "Time since its last report")
	Required("instance", "role", "zone", "revision", "age_ms")
})

// Upstream is one announced upstream.
var Upstream = Type("Upstream", func() {
	Attribute("instance", String)
	Attribute("address", String)
	Attribute("state", String, func() { Enum("up", "down", "leaving", "unknown") })
	Attribute("models", ArrayOf(String))
	Attribute("services", ArrayOf(String))
	Attribute("slots", UInt32)
	Required("instance", "address", "state", "models", "services", "slots")
})

// Zone lists the upstreams of one availability zone.
var Zone = Type("Zone", func() {
	Attribute("zone", String)
	Attribute("upstreams", ArrayOf(Upstream))
	Required("zone", "upstreams")
})

// Fleet is the state of the fleet.
var Fleet = Type("Fleet", func() {
	Attribute("revision", UInt64, "Revision in force at the control instance that answered")
	Attribute("members", ArrayOf(Member))
	Attribute("instances", ArrayOf(Instance))
	Attribute("zones", ArrayOf(Zone))
	Required("revision", "members", "instances", "zones")
})

// Selector names what an exception holds for; empty fields match everything.
var Selector = Type("Selector", func() {
	for _, name := range []string{"organisation", "model", "zone", "upstream", "service"} {
		Attribute(name, String)
	}
})

// Exception replaces a default for what its selector matches.
var Exception = Type("Exception", func() {
	Attribute("id", String, text)
	Attribute("key", String, text)
	Attribute("value", String)
	Attribute("selector", Selector)
	Attribute("reason", String, text)
	Attribute("until_ms", Int64, "End in Unix milliseconds; 0 or absent never ends", func() { Minimum(0) })
	Required("id", "key", "value", "selector", "reason")
})

// Organisation is a customer with the hashes of its keys.
var Organisation = Type("Organisation", func() {
	Attribute("key_hashes", ArrayOf(String), "SHA-256 hashes in hexadecimal")
	Required("key_hashes")
})

// Document is one revision of the configuration.
var Document = Type("Document", func() {
	Attribute("revision", UInt64)
	Attribute("defaults", MapOf(String, String), "Keys that differ from their built-in default")
	Attribute("exceptions", ArrayOf(Exception))
	Attribute("organisations", MapOf(String, Organisation))
	Required("revision", "defaults", "exceptions", "organisations")
})

// KeyInfo describes one configuration key.
var KeyInfo = Type("KeyInfo", func() {
	Attribute("name", String)
	Attribute("kind", String)
	Attribute("unit", String)
	Attribute("default", String)
	Attribute("min", Float64, "Least value; durations in seconds")
	Attribute("max", Float64, "Greatest value; durations in seconds")
	Attribute("one_of", ArrayOf(String))
	Attribute("scopes", ArrayOf(String), "What an exception may select by")
	Attribute("meaning", String)
	Required("name", "kind", "unit", "default", "min", "max", "one_of", "scopes", "meaning")
})

// Edit is one step of a change.
var Edit = Type("Edit", func() {
	Attribute("kind", String, func() {
		Enum("set_default", "unset_default", "put_exception", "remove_exception", "put_organisation", "remove_organisation")
	})
	Attribute("name", String)
	Attribute("value", String)
	Attribute("exception", Exception)
	Attribute("organisation", Organisation)
	Required("kind")
})

// Accepted is the answer of an accepted change.
var Accepted = Type("Accepted", func() {
	Attribute("change_id", String)
	Attribute("revision", UInt64)
	Required("change_id", "revision")
})

// PastChange is a change that was answered.
var PastChange = Type("PastChange", func() {
	Attribute("change_id", String)
	Attribute("verdict", String, func() { Enum("accepted", "conflict", "refused") })
	Attribute("revision", UInt64, "Revision in force after the change was handled")
	Attribute("base_revision", UInt64)
	Attribute("author", String)
	Attribute("reason", String)
	Attribute("at_ms", Int64)
	Attribute("problems", ArrayOf(String))
	Required("change_id", "verdict", "revision", "base_revision", "author", "reason", "at_ms", "problems")
})

// Suspect is a request that was running when an upstream crashed.
var Suspect = Type("Suspect", func() {
	Attribute("fingerprint", String)
	Attribute("crashes", UInt32)
	Attribute("quarantined", Boolean)
	Attribute("left_ms", Int64, "Time left of the quarantine")
	Required("fingerprint", "crashes", "quarantined", "left_ms")
})

func orderFields() {
	Attribute("id", String, "Names the order; sent again, it is not staged twice", text)
	Attribute("upstream", String, text)
	Attribute("kind", String, func() {
		Enum("load_model", "unload_model", "load_adapter", "unload_adapter", "set_version", "set_role")
	})
	for _, name := range []string{"model", "adapter", "version", "role", "replaces"} {
		Attribute(name, String)
	}
}

// Order is an order with its state.
var Order = Type("Order", func() {
	orderFields()
	Attribute("fence", UInt64)
	Attribute("status", String)
	Attribute("message", String)
	Attribute("at_ms", Int64)
	Required("id", "upstream", "kind", "fence", "status", "message", "at_ms")
})

func query(names ...string) {
	for _, n := range names {
		Param(n)
	}
}

var _ = Service("administration", func() {
	Description("Operators' calls. They need a client certificate with the role operator.")
	failures.Declare(func() { Path("/admin/v1") })
	Method("status", func() {
		Result(Fleet)
		HTTP(func() { GET("/status") })
	})
	configurationMethods()
	exceptionMethods()
	organisationMethods()
	fleetMethods()
})

func configurationMethods() {
	Method("configuration", func() {
		Result(Document)
		HTTP(func() { GET("/configuration") })
	})
	Method("keys", func() {
		Result(ArrayOf(KeyInfo))
		HTTP(func() { GET("/configuration/keys") })
	})
	Method("history", func() {
		Payload(func() {
			Attribute("limit", Int, "Most changes to list, the latest first", func() { Minimum(1); Maximum(maxHistory); Default(defaultHistory) })
		})
		Result(ArrayOf(PastChange))
		HTTP(func() { GET("/configuration/changes"); Param("limit") })
	})
	Method("change", func() {
		Payload(func() {
			changeHead()
			Attribute("edits", ArrayOf(Edit), func() { MinLength(1); MaxLength(maxEdits) })
			Required(append([]string{"edits"}, required...)...)
		})
		Result(Accepted)
		HTTP(func() { POST("/configuration/changes") })
	})
}

func exceptionMethods() {
	Method("exceptions", func() {
		Result(ArrayOf(Exception))
		HTTP(func() { GET("/exceptions") })
	})
	Method("put_exception", func() {
		Payload(func() {
			changeHead()
			Attribute("id", String, text)
			Attribute("key", String, text)
			Attribute("value", String)
			Attribute("selector", Selector)
			Attribute("until_ms", Int64, func() { Minimum(0) })
			Required(append([]string{"id", "key", "value", "selector"}, required...)...)
		})
		Result(Accepted)
		HTTP(func() { PUT("/exceptions/{id}") })
	})
	removeMethod("remove_exception", "id", "/exceptions/{id}")
}

func removeMethod(method, name, path string) {
	Method(method, func() {
		Payload(func() {
			changeHead()
			Attribute(name, String, text)
			Required(append([]string{name}, required...)...)
		})
		Result(Accepted)
		HTTP(func() {
			DELETE(path)
			query(required...)
		})
	})
}

func organisationMethods() {
	Method("organisations", func() {
		Result(MapOf(String, Organisation))
		HTTP(func() { GET("/organisations") })
	})
	Method("put_organisation", func() {
		Payload(func() {
			changeHead()
			Attribute("name", String, text)
			Attribute("key_hashes", ArrayOf(String))
			Required(append([]string{"name", "key_hashes"}, required...)...)
		})
		Result(Accepted)
		HTTP(func() { PUT("/organisations/{name}") })
	})
	removeMethod("remove_organisation", "name", "/organisations/{name}")
	keyMethod("add_key", func(path string) { PUT(path) })
	keyMethod("remove_key", func(path string) { DELETE(path) })
}

func keyMethod(method string, verb func(string)) {
	Method(method, func() {
		Payload(func() {
			changeHead()
			Attribute("name", String, text)
			Attribute("key_hash", String, "SHA-256 hash of the key in hexadecimal", func() { Pattern("^[0-9a-f]{64}$") })
			Required(append([]string{"name", "key_hash"}, required...)...)
		})
		Result(Accepted)
		HTTP(func() {
			verb("/organisations/{name}/keys/{key_hash}")
			query(required...)
		})
	})
}

func fleetMethods() {
	Method("drain", func() {
		Payload(func() {
			author()
			Attribute("instance", String, text)
			Attribute("undo", Boolean, "Take new work again")
			Required("author", "reason", "instance")
		})
		Result(func() {
			Attribute("running", Int, "Work that is still running")
			Required("running")
		})
		HTTP(func() { POST("/upstreams/{instance}/drain") })
	})
	Method("replace_member", func() {
		Description("Takes a control instance out of the log groups. One that is still in the settings comes back as a learner and gets its vote when it has caught up.")
		Payload(func() {
			author()
			Attribute("instance", String, text)
			Required("author", "reason", "instance")
		})
		Result(func() {
			Attribute("groups", Int, "Log groups that the instance was taken out of")
			Required("groups")
		})
		HTTP(func() { POST("/members/{instance}/replace") })
	})
	Method("quarantine", func() {
		Result(ArrayOf(Suspect))
		HTTP(func() { GET("/quarantine") })
	})
	Method("lift", func() {
		Payload(func() {
			author()
			Attribute("fingerprint", String, text)
			Required("author", "reason", "fingerprint")
		})
		HTTP(func() { POST("/quarantine/{fingerprint}/lift"); Response(StatusNoContent) })
	})
	Method("orders", func() {
		Result(ArrayOf(Order))
		HTTP(func() { GET("/orders") })
	})
	Method("issue_order", func() {
		Payload(func() {
			author()
			orderFields()
			Required("author", "reason", "id", "upstream", "kind")
		})
		Result(func() {
			Attribute("id", String)
			Attribute("status", String)
			Attribute("message", String)
			Required("id", "status", "message")
		})
		HTTP(func() { POST("/orders") })
	})
}
