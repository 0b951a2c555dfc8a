#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
# review/build.sh and the build of the deploy file come first.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
harness=$root/review/.build/harness
[ -x "$harness" ] || exit 2
exec "$harness" pipelining "$root" "$folder"
