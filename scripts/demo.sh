#!/usr/bin/env bash
# Runs the whole system on one machine: a process that simulates the platform and
# the endpoints, six entry hosts and a caller. Prints the result of each step,
# stops the processes that it started and exits with 0 only if every step
# succeeded.
set -euo pipefail
cd "$(dirname "$0")/.."

example=${1:-periyar}
base_port=${DEMO_PORT:-18000}
hosts=6
case $example in
  periyar)
    domains=(kochi-1 kochi-2 kochi-3)
    model=flow adapter=flow-adapter-001 service=application
    ;;
  sotfelagid)
    domains=(sudvestur-1 sudvestur-2 sudvestur-3)
    model=advice adapter=advice-adapter-001 service=booking
    ;;
  *)
    echo "usage: $0 [periyar|sotfelagid]" >&2
    exit 2
    ;;
esac
. scripts/cluster.sh

step "start the simulated platform and endpoints and $hosts entry hosts in ${#domains[@]} failure domains"
start_all "$example"

step "apply examples/$example.yaml and wait until it is in force everywhere"
ctl apply --file "examples/$example.yaml" --wait --timeout 60 | tail -n 1
ctl status

step "request to a cold model, which is loaded once, with a streamed response"
call once --model "$model-001" --stream --body "gate placement for a thin wall"
ctl get model "$model-001"

step "request to the same model, now warm"
call once --model "$model-001" --stream --body "gate placement for a thick wall"

step "request to a cold adapter of the same model, with a response that is not streamed"
call once --model "$adapter" --body "shrink of PA66 GF30"

step "burst of 24 requests for another cold model, spread over all entry hosts"
burst=()
for i in $(seq 1 24); do
  bin/tamarackcall --entries "$(caller_address $(((i - 1) % hosts + 1)))" --failureDomain "${domains[$((i % ${#domains[@]}))]}" \
    once --model "$model-002" --stream --body "burst $i" >"$logs/burst-$i" &
  burst+=($!)
done
for pid in "${burst[@]}"; do wait "$pid"; done
echo "$(cat "$logs"/burst-* | grep -c 'complete=true') of 24 complete, slowest $(cat "$logs"/burst-* | sed 's/.*total=\([0-9]*\)ms.*/\1/' | sort -n | tail -n 1) ms, loads: $(cat "$logs"/entry-*.log | grep -c "order ended.*kind=load.*target=$model-002 ")"

step "request to a plain service that may run at most once"
call once --service "$service/orders" --body '{"cavity":7}' --notRepeatable

step "request to an unknown model, which is rejected immediately"
if call once --model no-such-model --body x; then exit 1; fi

step "SIGTERM to one entry host during requests"
kill -TERM "${entry_pids[1]}"
failed=0
for i in $(seq 1 20); do
  call once --model "$model-001" --body "while draining $i" >"$logs/drain-$i" 2>&1 || failed=$((failed + 1))
done
wait "${entry_pids[1]}"
echo "entry-1 exited with code $?, $failed of 20 requests failed"
[ "$failed" -eq 0 ]
ctl status | head -n 7

step "done: every step succeeded"
