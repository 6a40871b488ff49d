// Package standard imports the modules that the heatherway binary ships with.
package standard

import (
	_ "heatherway.dev/heatherway/modules/standinengine"  // role standin-engine
	_ "heatherway.dev/heatherway/modules/standinservice" // role standin-service
)
