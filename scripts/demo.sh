#!/usr/bin/env bash
# Runs one deployment on this machine: a stand-in of the platform and three
# entries as separate processes. Sends a mixed load while one host moves to another
# pool and one entry is restarted, and stops all processes at the end.
set -euo pipefail
cd "$(dirname "$0")/.."

site=${SITE:-caltanissetta}
duration=${DURATION:-10s}
entries=3
build=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$build"
}
trap stop_all EXIT

setting() { # arguments: entry number, key
    sed -n "s/^$2 *= *//p" "examples/$site/entry-$1.ini"
}

start_entry() {
    "$build/papayarudder" serve --settings "examples/$site/entry-$1.ini" >>"$build/entry-$1.log" 2>&1 &
    pids+=($!)
    entry_pid[$1]=$!
}

wait_ready() {
    for _ in $(seq 100); do
        curl -fs -o /dev/null "http://$(setting "$1" admin)/ready" && return 0
        sleep 0.1
    done
    echo "entry $1 is not ready:" >&2
    cat "$build/entry-$1.log" >&2
    return 1
}

go build -o "$build/" ./cmd/papayarudder ./cmd/standin ./cmd/demo
"$build/standin" --listen "$(setting 1 address)" --ticket "examples/$site/ticket-1.json" &
pids+=($!)
declare -A entry_pid
arguments=(--platform "$(setting 1 address)" --duration "$duration")
for i in $(seq $entries); do
    start_entry "$i"
    arguments+=(--entry "$(setting "$i" caller)" --admin "$(setting "$i" admin)")
done
for i in $(seq $entries); do wait_ready "$i"; done
PAPAYARUDDER_ADMIN=$(setting 1 admin)
export PAPAYARUDDER_ADMIN
"$build/papayarudder" ticket submit "examples/$site/ticket-1.json"
sleep 1

timeout 120 "$build/demo" "${arguments[@]}" &
demo_pid=$!
sleep 2
"$build/papayarudder" ticket submit "examples/$site/ticket-2.json"
sleep 2
echo "replacing entry 2"
kill -TERM "${entry_pid[2]}"
wait "${entry_pid[2]}" || { echo "entry 2 did not stop cleanly:" >&2; cat "$build/entry-2.log" >&2; exit 1; }
start_entry 2
wait_ready 2
wait "$demo_pid"
