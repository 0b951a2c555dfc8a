#!/usr/bin/env bash
# Case 9: see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
standins=target/review-2/release/review-standins-2
if [ ! -x "$standins" ] || [ ! -x target/release/limeway ]; then
    echo "not built: run the build of the deploy file and review/build-2.sh" >&2
    exit 2
fi
REVIEW_ROOT="$PWD" "$standins" gone "review/9"
