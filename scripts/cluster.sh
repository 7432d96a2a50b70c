# Functions for demo.sh and measure.sh that start and stop a cluster with a
# simulated platform and simulated endpoints. The sourcing script must set
# base_port, hosts and domains.

logs=$(mktemp -d)
pids=()
entry_pids=()
entries="" operators=""
extra_flags=() # for tamarackstandin, set by the sourcing script

platform=127.0.0.1:$base_port
caller_address() { echo "127.0.0.1:$((base_port + 100 + $1))"; }
peer_address() { echo "127.0.0.1:$((base_port + 200 + $1))"; }
operator_address() { echo "127.0.0.1:$((base_port + 300 + $1))"; }

# cleanup kills the processes that this script started, by process ID, and removes
# the logs unless the script failed.
cleanup() {
  local status=$?
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    echo "failed, the logs are in $logs" >&2
  else
    rm -rf "$logs"
  fi
  exit "$status"
}
trap cleanup EXIT

step() { printf '\n== %s\n' "$*"; }

# wait_ready waits up to 15 s until a URL responds with 200.
wait_ready() {
  for _ in $(seq 1 150); do
    if curl -fs -o /dev/null "$1"; then return 0; fi
    sleep 0.1
  done
  echo "$1 is not ready after 15 s" >&2
  return 1
}

call() { bin/tamarackcall --entries "$entries" --failureDomain "${domains[0]}" "$@"; }
ctl() { bin/tamarackctl --servers "$operators" "$@"; }

# endpoint_flags prints the tamarackstandin flags in the second line of an example.
endpoint_flags() { sed -n '2s/^# tamarackstandin //p' "examples/$1.yaml"; }

# start_all EXAMPLE... starts tamarackstandin with the endpoints of the examples
# and the entry hosts, and waits until all entry hosts are members.
start_all() {
  local flags=("${extra_flags[@]}") example_flags=() domain
  for example in "$@"; do
    read -r -a example_flags < <(endpoint_flags "$example")
    flags+=("${example_flags[@]}")
  done
  bin/tamarackstandin --listen "$platform" "${flags[@]}" 2>"$logs/standin.log" &
  pids+=($!)
  wait_ready "http://$platform/healthz"
  for i in $(seq 1 "$hosts"); do
    domain=${domains[$(((i - 1) % ${#domains[@]}))]}
    curl -fsS -o /dev/null -X PUT "http://$platform/hosts/entry-$i" -d "{\"name\":\"entry-$i\",\"role\":\"entry\",\"address\":\"$(caller_address "$i")\",\"peerAddress\":\"$(peer_address "$i")\",\"failureDomain\":\"$domain\"}"
    bin/tamarackd --name "entry-$i" --failureDomain "$domain" --callerAddress "$(caller_address "$i")" \
      --peerAddress "$(peer_address "$i")" --operatorAddress "$(operator_address "$i")" \
      --platformAddress "$platform" --logRetention 3600 2>"$logs/entry-$i.log" &
    pids+=($!)
    entry_pids[i]=$!
    entries+=${entries:+,}$(caller_address "$i")
    operators+=${operators:+,}$(operator_address "$i")
  done
  for i in $(seq 1 "$hosts"); do wait_ready "http://$(caller_address "$i")/readyz"; done
  for _ in $(seq 1 100); do
    if [ "$(ctl status | grep -c ' alive ')" -eq "$hosts" ]; then return 0; fi
    sleep 0.1
  done
  echo "not all entry hosts are alive in the membership after 10 s" >&2
  return 1
}
