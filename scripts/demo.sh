#!/usr/bin/env bash
# Runs the whole system on stand-ins: one process that stands for the platform
# and the endpoints, six entry hosts, and a caller. Prints what happened, ends
# the processes that it started, and exits with 0 only if every step succeeded.
set -euo pipefail
cd "$(dirname "$0")/.."

example=${1:-periyar}
base_port=${DEMO_PORT:-18000}
hosts=6
logs=$(mktemp -d)
pids=()
entry_pids=()

platform=127.0.0.1:$base_port
caller_address() { echo "127.0.0.1:$((base_port + 100 + $1))"; }
peer_address() { echo "127.0.0.1:$((base_port + 200 + $1))"; }
operator_address() { echo "127.0.0.1:$((base_port + 300 + $1))"; }

stop() {
  local status=$?
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    echo "demo failed, logs are in $logs" >&2
  else
    rm -rf "$logs"
  fi
  exit "$status"
}
trap stop EXIT

case $example in
  periyar)
    domains=(kochi-1 kochi-2 kochi-3)
    cold_model=flow-001 cold_adapter=flow-adapter-001 service=application
    ;;
  sotfelagid)
    domains=(sudvestur-1 sudvestur-2 sudvestur-3)
    cold_model=advice-001 cold_adapter=advice-adapter-001 service=booking
    ;;
  *) echo "usage: $0 [periyar|sotfelagid]" >&2; exit 2 ;;
esac

step() { printf '\n== %s\n' "$*"; }

# ready waits until a URL answers with 200.
ready() {
  for _ in $(seq 1 150); do
    if curl -fs -o /dev/null "$1"; then return 0; fi
    sleep 0.1
  done
  echo "$1 is not ready after 15 s" >&2
  return 1
}

call() { bin/tamarackcall --entries "$entries" --failureDomain "${domains[0]}" "$@"; }
ctl() { bin/tamarackctl --servers "$operators" "$@"; }

# The second line of an example holds the command line of its endpoints.
read -r -a endpoints < <(sed -n '2s/^# tamarackstandin //p' "examples/$example.yaml")

step "start the stand-ins and $hosts entry hosts in ${#domains[@]} failure domains"
bin/tamarackstandin --listen "$platform" "${endpoints[@]}" 2>"$logs/standin.log" &
pids+=($!)
ready "http://$platform/healthz"
entries="" operators=""
for i in $(seq 1 $hosts); do
  domain=${domains[$(((i - 1) % ${#domains[@]}))]}
  curl -fsS -X PUT "http://$platform/hosts/entry-$i" -d "{\"name\":\"entry-$i\",\"role\":\"entry\",\"address\":\"$(caller_address "$i")\",\"peerAddress\":\"$(peer_address "$i")\",\"failureDomain\":\"$domain\"}"
  bin/tamarackd --name "entry-$i" --failureDomain "$domain" --callerAddress "$(caller_address "$i")" \
    --peerAddress "$(peer_address "$i")" --operatorAddress "$(operator_address "$i")" \
    --platformAddress "$platform" --logRetention 3600 2>"$logs/entry-$i.log" &
  pids+=($!)
  entry_pids[i]=$!
  entries+=${entries:+,}$(caller_address "$i")
  operators+=${operators:+,}$(operator_address "$i")
done
for i in $(seq 1 $hosts); do ready "http://$(caller_address "$i")/readyz"; done

step "apply examples/$example.yaml and wait until it is in force everywhere"
ctl apply --file "examples/$example.yaml" --wait --timeout 60 | tail -n 1
ctl status

step "a cold model: loaded once, then streamed"
call once --model "$cold_model" --stream --body "gate placement for a thin wall"
ctl get model "$cold_model"

step "the same model, warm"
call once --model "$cold_model" --stream --body "gate placement for a thick wall"

step "a cold adapter of the same model, not streamed"
call once --model "$cold_adapter" --body "shrink of PA66 GF30"

step "a burst of 24 calls for another cold model at all entry hosts"
burst=()
for i in $(seq 1 24); do
  bin/tamarackcall --entries "$(caller_address $(((i - 1) % hosts + 1)))" --failureDomain "${domains[$((i % ${#domains[@]}))]}" \
    once --model "${cold_model%1}2" --stream --body "burst $i" >"$logs/burst-$i" &
  burst+=($!)
done
for pid in "${burst[@]}"; do wait "$pid"; done
echo "$(cat "$logs"/burst-* | grep -c 'complete=true') of 24 complete, slowest: $(cat "$logs"/burst-* | sed 's/.*total=\([0-9]*\)ms.*/\1/' | sort -n | tail -n 1) ms"
echo "claims accepted for it: $(cat "$logs"/entry-*.log | grep -c "event=order.*kind=load.*target=${cold_model%1}2" || true)"

step "a plain service, a call that must not run twice"
call once --service "$service/orders" --body '{"cavity":7}' --notRepeatable

step "an unknown model is refused at once"
if call once --model no-such-model --body x; then exit 1; fi

step "SIGTERM to one entry host while calls go on"
kill -TERM "${entry_pids[1]}"
failed=0
for i in $(seq 1 20); do
  call once --model "$cold_model" --body "while draining $i" >"$logs/drain-$i" 2>&1 || failed=$((failed + 1))
done
wait "${entry_pids[1]}"
echo "entry-1 has ended with exit code $?, $failed of 20 calls failed"
[ "$failed" -eq 0 ]
ctl status | sed -n 1,7p

step "done: every step succeeded"
