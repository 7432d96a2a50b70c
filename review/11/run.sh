#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. HOW=killed kills all hosts at once instead of stopping them in turn;
# with HOW=rolling-split there is one version, and the route is split between two services.
# KEEP_LOGS names a folder for the logs of the project's processes.
cd "$(dirname "$0")/../.." || exit 2
for program in target/tamarackd target/stand3; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build of deploy/system.toml and review/build-3.sh" >&2
		exit 2
	fi
done
exec target/stand3 "${HOW:-rolling}" review/11/record.txt
