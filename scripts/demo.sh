#!/usr/bin/env bash
# Starts a small cell on free loopback ports, uses it, and stops it; exits 0 only if every answer was whole.
set -euo pipefail
bin=$(realpath "${1:-build/release}")
work=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

fail() {
  echo "demo: $*" >&2
  for number in "${!http[@]}"; do curl -s "http://127.0.0.1:${http[$number]}/v1/dump" >&2 || true; done
  tail -n 20 "$work"/*.log >&2
  exit 1
}

# wait_for WHAT COMMAND...: repeats the command until it succeeds, for at most 30 s.
wait_for() {
  local what=$1
  shift
  for _ in $(seq ${WAIT_TENTHS:-300}); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  fail "no $what"
}

stand_in() {
  local name=$1
  shift
  "$bin/rosearch_testbed" "$@" --port-file "$work/$name.port" 2>"$work/$name.log" &
  pids+=($!)
  wait_for "$name" test -s "$work/$name.port"
}

port() { sed -n "${2:-1}p" "$work/$1.port"; }

echo "== stand-ins: log, VM list, 2 workers, 2 executors"
stand_in log log
stand_in vms vms
stand_in workers workers --count 2 --processors-milli 16000 --memory-mb 65536
stand_in executors executors --count 2

vm() { # vm NAME KIND ADDRESS INSTANCE EXTRA
  curl -sf -X POST "http://127.0.0.1:$(port vms)/v1/set" -d "{\"vms\":[{\"vm\":\"$1\",\"kind\":\"$2\",\"address\":\"$3\",
    \"region\":\"south\",\"failure_domain\":\"fd-$4\",\"rack\":\"rack-$4\",\"instance\":$4$5}]}" >/dev/null
}
holds=',"holds":{"processors_milli":16000,"memory_mb":65536}'
vm worker-1 VM_WORKER "127.0.0.1:$(port workers 1)" 1 "$holds"
vm worker-2 VM_WORKER "127.0.0.1:$(port workers 2)" 2 "$holds"
vm executor-1 VM_EXECUTOR "127.0.0.1:$(port executors 1)" 1 ',"slots":8,"connections":60,"service":"fuel"'
vm executor-2 VM_EXECUTOR "127.0.0.1:$(port executors 2)" 2 ',"slots":8,"connections":60,"service":"fuel"'

echo "== two entries"
for number in 1 2; do
  cat >"$work/entry-$number.json" <<JSON
{"entry": {"name": "entry-$number", "region": "south", "failure_domain": "fd-$number"},
 "http": {"port": 0}, "peer": {"port": 0},
 "platform": {"log": ["127.0.0.1:$(port log)"], "vm_list": "127.0.0.1:$(port vms)",
              "log_poll_ms": 300, "vm_list_poll_ms": 500, "vm_list_lag_ms": 1000},
 "cell": {"regions": [{"name": "south", "shards": 4}]},
 "stop": {"unready_ms": 200}}
JSON
  "$bin/rosearch" serve --settings "$work/entry-$number.json" --instance "$number" \
    --port-file "$work/entry-$number.port" 2>"$work/entry-$number.log" &
  pids+=($!)
  entries[$number]=$!
  wait_for "entry-$number" test -s "$work/entry-$number.port"
  http[$number]=$(port "entry-$number" 1)
  vm "entry-$number" VM_ENTRY "127.0.0.1:$(port "entry-$number" 2)" "$number" ''
done
one=http://127.0.0.1:${http[1]}
two=http://127.0.0.1:${http[2]}
wait_for "ready entry" curl -sf "$one/readyz"
wait_for "ready entry" curl -sf "$two/readyz"

echo "== publish rules"
cat >"$work/rules.json" <<'JSON'
{"customers": [{"name": "calandria", "quota": {"processors_milli": 32000, "memory_mb": 131072}}],
 "rules": [{"name": "quotes", "match": {"customer": "calandria", "kind": "request", "label": "quote"},
            "treat": {"policy": "quick", "retries": 2, "idempotent": true}},
           {"name": "orders", "match": {"customer": "calandria", "kind": "request"}, "treat": {"idempotent": false}},
           {"name": "jobs", "match": {"customer": "calandria"}, "treat": {"retries": 1}}]}
JSON
rosearch() {
  local command=$1
  shift
  "$bin/rosearch" "$command" "$@" --entry "${one#http://}" --entry "${two#http://}"
}
rosearch check --rules "$work/rules.json"
rosearch publish "$work/rules.json" --replaces 0 --author demo || fail "publish"

shards_served() {
  curl -sf "$one/v1/dump" "$two/v1/dump" | grep -o '"serving":true' | wc -l | grep -qx 4
}
wait_for "owner for every shard" shards_served

now_ms() { date +%s%3N; }

echo "== a quick quote at entry-1"
curl -sf -i -X POST "$one/v1/requests/fuel/quote" -H 'Rosearch-Customer: calandria' -H 'Rosearch-Label: quote' \
  -d '{"litres": 1200}' | grep -iE '^rosearch|litres' || fail "quote"

echo "== a non-idempotent order at entry-2, then the same id again at entry-1"
issued=$(now_ms)
order() {
  curl -s -i -X POST "$1/v1/requests/fuel/order" -H 'Rosearch-Customer: calandria' -H 'Rosearch-Request: order-1' \
    -H "Rosearch-Issued-At: $issued" -d '{"order": 1}' | grep -iE '^rosearch|order|error'
}
order "$two" || fail "order"
order "$one" || fail "order repeated"
runs=$(curl -sf "http://127.0.0.1:$(port executors 1)/runs" "http://127.0.0.1:$(port executors 2)/runs")
echo "$runs" | grep -o 'order-1' | wc -l | grep -qx 1 || fail "the order ran more than once: $runs"

echo "== a batch task and a gang of three"
for job in reconciliation:batch:1 plan:gang:3; do
  IFS=: read -r name kind count <<<"$job"
  rosearch submit --customer calandria --job "$name" --kind "$kind" --count "$count" --processors-milli 2000 \
    --memory-mb 4096 --run-ms 500 --wait 30 || fail "$name did not run whole"
done
rosearch status calandria/reconciliation calandria/plan
rosearch vms

echo "== planned stop"
for pid in "${entries[@]}"; do
  kill -TERM "$pid"
  wait "$pid" || fail "an entry ended with code $?"
done
echo "demo: every answer was whole"
