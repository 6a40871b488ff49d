// Package standard imports the modules that the heatherway binary ships with.
package standard

import (
	_ "heatherway.dev/heatherway/modules/control" // role.control
)
