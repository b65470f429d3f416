#!/usr/bin/env bash
# Runs the whole path on stand-ins: platform, engines, services, three instances and a small load.
# Prints what callers saw, what the ledger holds, and whether that equals what the stand-ins did.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/prepare.sh
mkdir -p .run
rm -f .run/*.log .run/*.yaml
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap cleanup EXIT
standins=packages/standins/dist/bin.js

node "$standins" platform 0 >.run/platform.log 2>&1 &
pids+=($!)
for _ in $(seq 100); do
  [ -s .run/platform.log ] && break
  sleep 0.1
done
platform=$(head -1 .run/platform.log)
echo "platform stand-in at $platform"

upstream() { # kind id service domain
  node "$standins" "$1" --id "$2" --service "$3" --domain "$4" --platform "$platform" >".run/$2.log" 2>&1 &
  pids+=($!)
}
upstream engine tutor-1 kitchen-tutor wellington
upstream engine tutor-2 kitchen-tutor auckland
upstream engine asistente-1 asistente-lm medellin-a
upstream engine asistente-2 asistente-lm envigado
upstream service records-1 trainee-records hamilton
upstream service reservas-1 reservas-app rionegro

# The demonstration's operator key is "demo-operator".
export ACACIACRANK_PLATFORM=$platform ACACIACRANK_OPERATORS_KEY=demo-operator
operator_digest=$(printf %s demo-operator | sha256sum | cut -d' ' -f1)

instance() { # id domain environment
  cat >".run/$1.yaml" <<SETTINGS
instanceId: $1
failureDomain: $2
environment: $3
callers: { ip: 127.0.0.1, port: 0 }
operators: { ip: 127.0.0.1, port: 0, keyDigest: $operator_digest }
fleet: { ip: 127.0.0.1, port: 0, keys: [demonstration-key] }
platformUrl: $platform
SETTINGS
  node packages/router/dist/bin.js --settings ".run/$1.yaml" 2>".run/$1.log" &
  pids+=($!)
}

list_entry() { # id domain environment
  local port= operators_port fleet_port
  for _ in $(seq 100); do
    port=$(sed -n 's/.*"callersPort":\([0-9]*\).*/\1/p' ".run/$1.log" | head -1)
    [ -n "$port" ] && break
    sleep 0.1
  done
  operators_port=$(sed -n 's/.*"operatorsPort":\([0-9]*\).*/\1/p' ".run/$1.log" | head -1)
  fleet_port=$(sed -n 's/.*"fleetUrl":"ws:[^"]*:\([0-9]*\)".*/\1/p' ".run/$1.log" | head -1)
  node "$standins" list-entry "$1" "$2" "$port" --platform "$platform" \
    --fleet-port "$fleet_port" --operators-port "$operators_port" --environment "$3"
  echo "instance $1 of $3 in $2 at http://127.0.0.1:$port"
}

instance trial-1 wellington demo.trial
instance entry-1 wellington demo
instance entry-2 auckland demo
instance entry-3 hamilton demo
list_entry trial-1 wellington demo.trial
list_entry entry-1 wellington demo
list_entry entry-2 auckland demo
list_entry entry-3 hamilton demo
echo
node packages/ctl/dist/bin.js try examples/demo.yaml
echo
node packages/ctl/dist/bin.js promote examples/demo.yaml
echo
sleep 1.5
echo "sending both deployments' kinds of traffic for 8 s"
echo
node "$standins" load --platform "$platform" --duration-ms 8000
