# Functions that start and stop the whole system on stand-ins, for demo.sh and
# measure.sh. The sourcing script sets base_port, hosts and domains.

logs=$(mktemp -d)
pids=()
entry_pids=()
entries="" operators=""
extra_flags=() # of the stand-ins, set by the sourcing script

platform=127.0.0.1:$base_port
caller_address() { echo "127.0.0.1:$((base_port + 100 + $1))"; }
peer_address() { echo "127.0.0.1:$((base_port + 200 + $1))"; }
operator_address() { echo "127.0.0.1:$((base_port + 300 + $1))"; }

# stop ends the processes that this script started, by id.
stop() {
  local status=$?
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    echo "failed, logs are in $logs" >&2
  else
    rm -rf "$logs"
  fi
  exit "$status"
}
trap stop EXIT

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
endpoint_flags() { sed -n '2s/^# tamarackstandin //p' "examples/$1.yaml"; }

# start_all EXAMPLE... starts the stand-ins of the examples and the entry
# hosts, and waits until the entry hosts know each other.
start_all() {
  local flags=("${extra_flags[@]}") more=() domain
  for example in "$@"; do
    read -r -a more < <(endpoint_flags "$example")
    flags+=("${more[@]}")
  done
  bin/tamarackstandin --listen "$platform" "${flags[@]}" 2>"$logs/standin.log" &
  pids+=($!)
  ready "http://$platform/healthz"
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
  for i in $(seq 1 "$hosts"); do ready "http://$(caller_address "$i")/readyz"; done
  for _ in $(seq 1 100); do
    if [ "$(ctl status | grep -c ' alive ')" -eq "$hosts" ]; then return 0; fi
    sleep 0.1
  done
  echo "the entry hosts do not know each other after 10 s" >&2
  return 1
}
