#!/bin/sh
# A node that returns while the box list is out of reach, and the whole list after it: see claim.txt. TROUBLE=0 plays it without the outage
# and the kill. Exit 1: the rule was broken; 0: it held; 2: the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x review/bin/harness ] && [ -x bin/fernvane ] || { echo "build the deploy file and run review/build.sh first" >&2; exit 2; }
exec review/bin/harness whole-list "$folder"
