#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x review/bin/trial ] || { echo "run review/build.sh first" >&2; exit 2; }
timeout --signal=KILL 110 review/bin/trial lost "$here/record.txt"
status=$?
[ $status -le 2 ] || status=2
exit $status
