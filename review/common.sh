# Starts a small deployment on loopback addresses and plays a case on it:
#   play CASE_FOLDER PROGRAM
# Three core machines run an entry and a control process each, seven more
# machines an entry. Every process is started with the run line of its role, --settings
# naming a file that is made from the role's template.

cd "$(dirname "${BASH_SOURCE[0]}")/.."
work=""
supervisors=()

cleanup() {
  local pid
  for pid in "${supervisors[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  for pid in $(cat "$work"/*.pid 2>/dev/null); do
    kill -KILL "$pid" 2>/dev/null || true
    while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done
  done
  [ -z "$work" ] || rm -rf "$work"
}

# settings MACHINE ROLE IP ZONE BOOTSTRAP
settings() {
  {
    echo "node_name=\"$1\""
    echo "zone=\"$4\""
    echo "ip=\"$3\""
    echo "seeds=[\"$net.1:8623\",\"$net.2:8623\",\"$net.3:8623\"]"
    echo "port_range=[7060,7075]"
    echo "listen.front=\"$3:8624\""
    echo "listen.readiness=\"$3:8622\""
    echo "listen.control=\"$3:8623\""
    echo "bootstrap=$5"
    echo "fault_tolerance.machines=1"
    echo "cloud_api.address=\"$net.100:8621\""
    echo "cloud_api.duty_per_s=64.0"
    echo "bounds.lease_ms=3000"
    echo "bounds.migrate_s=1.5"
    echo "bounds.maintenance_s=2"
    [ "$2" = entry ] || echo "data_dir=\"$work/data-$1\""
  } | target/review/render_settings "deploy/$2.json" >"$work/$1-$2.json"
}

# Runs a process and starts it again after a short delay whenever it has ended.
# supervise MACHINE ROLE IP ZONE COMMAND...
supervise() {
  local name="$1-$2" bootstrap=true
  while :; do
    settings "$1" "$2" "$3" "$4" "$bootstrap"
    "${@:5}" &
    echo $! >"$work/$name.pid.new"
    mv "$work/$name.pid.new" "$work/$name.pid"
    wait
    bootstrap=false
    sleep 0.3
  done >>"$work/$name.log" 2>&1
}

# start MACHINE ROLE NUMBER ZONE
start() {
  local file="$work/$1-$2.json" run
  run=$(sed -n "/^\[roles\.$2\]/,/^\$/s/^run = \"\(.*\)\"/\1/p" deploy/system.toml)
  # shellcheck disable=SC2086
  supervise "$1" "$2" "$net.$3" "$4" ${run//\/etc\/bamboostile\/settings.conf/$file} &
  supervisors+=($!)
  disown "$!"
  echo "$1 $2 $net.$3 $work/$1-$2.pid" >>"$work/processes"
}

play() {
  [ -x target/tools/bamboostiled ] && [ -x "target/review/$2" ] || return 2
  trap cleanup EXIT
  trap 'exit 2' INT TERM
  work=$(mktemp -d)
  net="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
  local i zones=(galway-a galway-b ennis)
  for i in 1 2 3; do
    mkdir -p "$work/data-core-$i"
    start "core-$i" control "$i" "${zones[i - 1]}"
    start "core-$i" entry "$i" "${zones[i - 1]}"
  done
  for i in 1 2 3 4 5 6 7; do
    start "edge-$i" entry "$((i + 3))" "${zones[i % 3]}"
  done
  echo "platform $net.100" >>"$work/processes"
  local code=0
  timeout 115 "target/review/$2" "$work/processes" "$1/record.txt" "${TROUBLE:-1}" || code=$?
  [ -z "${KEEP_LOGS:-}" ] || cp "$work"/*.log "$KEEP_LOGS"
  [ "$code" -le 1 ] || code=2
  return "$code"
}
