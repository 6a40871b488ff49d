#!/bin/bash
# Plays the case with the programs in target/, after the build of the deploy file and
# review/build.sh. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -x target/heatherway ] && [ -x review/bin/standin ] || { echo "build target/ and review/bin/ first" >&2; exit 2; }
exec review/bin/standin departure-lost review/4/record.txt
