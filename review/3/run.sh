#!/bin/sh
# Plays the case. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
CASE_FOLDER=$(cd "$(dirname "$0")" && pwd) && export CASE_FOLDER || exit 2
cd "$CASE_FOLDER/../.." || exit 2
case_name=$(basename "$CASE_FOLDER")
[ -x target/release/gatherer ] && [ -x "target/review/case-$case_name" ] || { echo "not built" >&2; exit 2; }
TMPDIR=$(mktemp -d) && export TMPDIR || exit 2
trap 'rm -rf "$TMPDIR"' EXIT
"target/review/case-$case_name"
status=$?
[ "$status" -eq 0 ] || [ "$status" -eq 1 ] || { cat "$TMPDIR/log.txt" >&2; status=2; }
exit "$status"
