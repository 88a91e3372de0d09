#!/usr/bin/env bash
# Runs the Hraunmót example as separate processes on loopback addresses under
# load. It kills one node, drains another, makes one engine leave and crashes
# another, and then audits the run from the outside.
set -u
program=${1:?usage: demo.sh PROGRAM}
program=$(realpath "$program")
here=$(cd "$(dirname "$0")" && pwd)
example=$here/examples/hraunmot
work=$(mktemp -d)
pids=()
declare -A node_pid

cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  if [ "${keep_logs:-}" = 1 ]; then echo "logs are in $work"; else rm -rf "$work"; fi
}
trap cleanup EXIT
cd "$work" || exit 1

start() { # start NAME ARGS...: runs the program in the background
  local name=$1
  shift
  "$program" "$@" >"$name.out" 2>"$name.err" &
  pids+=($!)
  last_pid=$!
  disown
}
start_node() {
  start "node-$1" node -c "$example/node-$1.toml"
  node_pid[$1]=$last_pid
}
wait_until() { # wait_until SECONDS COMMAND...: retries the command until it succeeds
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $end ]; then
      echo "timed out waiting for: $*"
      keep_logs=1
      exit 1
    fi
    sleep 0.2
  done
}
config_number_is() { "$program" config get -n "127.1.0.$1:8080" | grep -q "\"number\": $2"; }
members_alive() { [ "$("$program" status -n "127.1.0.$1:8080" | grep -c ' alive$')" -ge "$2" ]; }
process_exited() { ! kill -0 "$1" 2>/dev/null; }
post() { # post HOST PORT PATH: sends an empty POST request
  exec 3<>"/dev/tcp/$1/$2" && printf 'POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' "$3" >&3 && cat <&3 >/dev/null 2>&1
}

echo "starting the platform, 9 engines and 3 plain services"
start kv stand kv --listen 127.1.9.1:7000
start vms stand vms --listen 127.1.9.2:7000 --file "$example/vms.json" --lag 10s
start weights stand weights --listen 127.1.9.3:7000 --rate 8
for i in 1 2 3 4 5 6 7 8 9; do start "engine-$i" stand engine --listen "127.1.1.$i:8000" --fenced --weights 127.1.9.3:7000; done
for i in 1 2 3; do start "plain-$i" stand plain --listen "127.1.2.$i:8000"; done

echo "starting 3 nodes"
for i in 1 2 3; do start_node $i; done
for i in 1 2 3; do wait_until 15 members_alive $i 2; done

echo "submitting the configuration"
accepted=()
patch() { # patch NODE NUMBER FILE ID: sends a patch and records an accepted ID
  "$program" config patch -n "127.1.0.$1:8080" --number "$2" --id "$4" "$3" >>patches.out 2>&1 && accepted+=("\"$4\"")
}
patch 1 0 "$example/config.json" first || { cat patches.out; exit 1; }
for i in 1 2 3; do wait_until 16 config_number_is $i 1; done

echo "starting a trainer and callers"
start load load -f "$example/load.toml" -o "$work/report.json" --plot "$work/times.png"
load_pid=$last_pid
sleep 4

echo "sending two patches of configuration 1 to different nodes; one must be refused"
echo '{"pools":{"mould-lm":{"serving":0.6}}}' >left.json
echo '{"pools":{"mould-lm":{"serving":0.4}}}' >right.json
patch 1 1 left.json left
patch 3 1 right.json right
sleep 2

echo "killing node 2"
kill -KILL "${node_pid[2]}"
sleep 4
echo "restarting node 2"
start_node 2
wait_until 15 members_alive 2 2
sleep 1

echo "announcing that engine e9 leaves; the platform's list of VMs lags by 10 s"
left_at=$(date +%s)
post 127.1.1.9 8000 "/fault?kind=leaving"
post 127.1.9.2 7000 "/vms?id=e9&state=leaving"

echo "crashing engine e5"
post 127.1.1.5 8000 "/fault?kind=crash&down=2000"

echo "draining node 3"
"$program" drain -n 127.1.0.3:8080
wait_until 40 process_exited "${node_pid[3]}"

wait_until 60 process_exited "$load_pid"
if [ ! -s report.json ]; then cat load.err; keep_logs=1; exit 1; fi

cat >facts.json <<EOF
{"report": "$work/report.json",
 "plains": ["127.1.2.1:8000", "127.1.2.2:8000", "127.1.2.3:8000"],
 "engines": [$(for i in 1 2 3 4 5 6 7 8; do printf '"127.1.1.%s:8000", ' $i; done)"127.1.1.9:8000"],
 "nodes": ["127.1.0.1:8080", "127.1.0.2:8080"],
 "leaving": "127.1.1.9:8000", "leftat": $left_at, "drained": "127.1.0.3:8080",
 "accepted": [$(IFS=,; echo "${accepted[*]}")]}
EOF
"$program" audit -f facts.json
verdict=$?
[ $verdict = 0 ] || keep_logs=1
exit $verdict
