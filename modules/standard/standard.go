// Package standard imports the modules that the heatherway binary includes.
package standard

import (
	_ "heatherway.dev/heatherway/modules/adapter/openai" // registers its modules
	_ "heatherway.dev/heatherway/modules/adapter/plain"  // registers its modules
	_ "heatherway.dev/heatherway/modules/admin"          // registers its modules
	_ "heatherway.dev/heatherway/modules/agent"          // registers its modules
	_ "heatherway.dev/heatherway/modules/control"        // registers its modules
	_ "heatherway.dev/heatherway/modules/entry"          // registers its modules
	_ "heatherway.dev/heatherway/modules/gateway"        // registers its modules
	_ "heatherway.dev/heatherway/modules/registry"       // registers its modules
	_ "heatherway.dev/heatherway/modules/standinengine"  // registers its modules
	_ "heatherway.dev/heatherway/modules/standinservice" // registers its modules
	_ "heatherway.dev/heatherway/platform"               // registers its modules
)
