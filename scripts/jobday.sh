#!/usr/bin/env bash
# Runs a short scripted load of jobs on this machine: a stand-in of the platform
# with 49 hosts and four processes of the system. During a maintenance wave, one
# process is killed and another one is stopped; both are started again. Stops all
# processes at the end.
set -euo pipefail
cd "$(dirname "$0")/.."

processes=4
duration=${DURATION:-14s}
dir=$(mktemp -d)
pids=()
declare -A daemon_pid

stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$dir"
}
trap stop_all EXIT

start() {
    "$dir/papayarudder" daemon --settings "$dir/entry-$1.toml" >>"$dir/entry-$1.log" 2>&1 &
    daemon_pid[$1]=$!
    pids+=($!)
}

go build -o "$dir/" ./cmd/papayarudder ./cmd/jobday
timeout 150 "$dir/jobday" --dir "$dir" --processes $processes --duration "$duration" &
jobday_pid=$!
pids+=($jobday_pid)
for i in $(seq $processes); do
    until [ -s "$dir/entry-$i.toml" ]; do sleep 0.05; done
    start "$i"
done
sleep 7
echo "killing entry 3"
kill -KILL "${daemon_pid[3]}"
wait "${daemon_pid[3]}" 2>/dev/null || true
start 3
sleep 2
echo "stopping entry 2"
kill -TERM "${daemon_pid[2]}"
wait "${daemon_pid[2]}" || { echo "entry 2 did not stop cleanly:" >&2; tail -5 "$dir/entry-2.log" >&2; exit 1; }
start 2
if ! wait "$jobday_pid"; then
    mkdir -p build && cp "$dir"/entry-*.log build/ && echo "logs are in build/" >&2
    exit 1
fi
