#!/bin/sh
# Plays this case: exit 0 if the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/fernvane ] && [ -x bin/cases2 ] || { echo "run the build of deploy/balancer.toml and review/build-2.sh first" >&2; exit 2; }
exec bin/cases2 control review/10
