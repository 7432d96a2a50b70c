#!/usr/bin/env bash
# Measures the latency that an entry host adds to a request and the memory of an
# entry daemon, on loopback and with both examples applied.
set -euo pipefail
cd "$(dirname "$0")/.."
base_port=${DEMO_PORT:-18000}
hosts=6
domains=(kochi-1 kochi-2 kochi-3)
rate=${RATE:-1000}
seconds=${SECONDS_EACH:-10}
. scripts/cluster.sh

# This engine responds after 1 ms and has slots for the whole load, so that the
# difference between routed and direct requests is the overhead of the entry host.
extra_flags=(--engines name=bench,deployment=bench,count=1,port=9301,memoryMB=1024,slots=2000,queue=100,fencing=1,domains=kochi-1
  --firstToken 1ms --perToken 1ms)

step "start $hosts entry hosts and apply both examples"
start_all periyar sotfelagid
ctl apply --file examples/periyar.yaml --wait --timeout 60 | tail -n 1
ctl apply --file examples/sotfelagid.yaml --wait --timeout 60 | tail -n 1
ctl apply --file - --wait <<'YAML' | tail -n 1
kind: deployment
metadata: {name: bench}
spec: {priority: 5, coldStartWeight: 1, loadsPerSecond: 4, loadsAtOnce: 4}
---
kind: model
metadata: {name: bench-model}
spec: {deployment: bench, version: "1", memoryMB: 512, maxReplicas: 1, priority: 5}
---
kind: endpoint
metadata: {name: bench-01}
spec: {deployment: bench, address: "127.0.0.1:9301", failureDomain: kochi-1, memoryMB: 1024, slots: 2000, fencing: true}
YAML

step "time to first token of a cold and a warm request; the engine takes 1 ms of it"
for i in 011 012 013 014 015; do
  call once --model "flow-$i" --stream --body cold --timeout 120
  call once --model "flow-$i" --stream --body warm
done | sed 's/ text=.*//'

step "$rate requests/s for $seconds s, alternately through an entry host and directly"
call once --model bench-model --stream --body cold >/dev/null
for _ in 1 2 3; do
  bin/tamarackcall --entries "$(caller_address 1)" --failureDomain kochi-1 \
    load --model bench-model --direct 127.0.0.1:9301 --rate "$rate" --seconds "$seconds"
done

step "memory of the entry daemons"
for i in $(seq 1 $hosts); do
  echo "entry-$i resident $(awk '/VmRSS/ { print $2 }' "/proc/${entry_pids[i]}/status") kB"
done
