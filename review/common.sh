# Starts a small deployment on loopback addresses and plays a case on it:
#   play CASE_FOLDER PROGRAM
# Three core machines run an entry and a control process each, seven more
# machines an entry. Every process is started with the run line of its role, --settings
# naming a file that is made from the role's template.

cd "$(dirname "${BASH_SOURCE[0]}")/.."
work=""
pids=()

cleanup() {
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done
  done
  [ -z "$work" ] || rm -rf "$work"
}

# start MACHINE ROLE NUMBER ZONE
start() {
  local ip="$net.$3" file="$work/$1-$2.json"
  {
    echo "node_name=\"$1\""
    echo "zone=\"$4\""
    echo "ip=\"$ip\""
    echo "seeds=[\"$net.1:8623\",\"$net.2:8623\",\"$net.3:8623\"]"
    echo "port_range=[7060,7075]"
    echo "listen.front=\"$ip:8624\""
    echo "listen.readiness=\"$ip:8622\""
    echo "listen.control=\"$ip:8623\""
    echo "bootstrap=true"
    echo "fault_tolerance.machines=1"
    echo "cloud_api.address=\"$net.100:8621\""
    echo "cloud_api.duty_per_s=64.0"
    echo "bounds.lease_ms=3000"
    echo "bounds.migrate_s=1.5"
    echo "bounds.maintenance_s=2"
    [ "$2" = entry ] || echo "data_dir=\"$work/data-$1\""
  } | target/review/render_settings "deploy/$2.json" >"$file"
  local run
  run=$(sed -n "/^\[roles\.$2\]/,/^\$/s/^run = \"\(.*\)\"/\1/p" deploy/system.toml)
  ${run//\/etc\/bamboostile\/settings.conf/$file} >"$work/$1-$2.log" 2>&1 &
  pids+=($!)
  disown "$!"
  echo "$1 $2 $ip ${pids[-1]}" >>"$work/processes"
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
