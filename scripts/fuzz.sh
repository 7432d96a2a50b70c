#!/usr/bin/env bash
# Runs the randomized tests with new seeds for the given number of seconds (120 by
# default). A failing run prints its seed, which -rapid.seed reproduces.
set -euo pipefail
cd "$(dirname "$0")/.."
end=$(($(date +%s) + ${1:-120}))
packages=(./admission ./ingress ./ledger ./journal ./caller ./membership ./peer ./placement ./entry/daemon)
while [ "$(date +%s)" -lt "$end" ]; do
  seed=$((RANDOM * 32768 + RANDOM + 1))
  echo "seed $seed"
  go test -count=1 "${packages[@]}" -run 'Fuzz|Faults|Histories|Random' -rapid.seed="$seed" -rapid.checks=60 -rapid.nofailfile
done
