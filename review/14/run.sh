#!/usr/bin/env bash
# Starts processes of the system and a stand-in of their platform and callers, and exits with 1 if
# the rule of claim.txt was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs target/papayarudder and target/standin-3, see review/build-3.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
case_name=crowd
processes=3
record=review/14/record.txt

[ -x target/papayarudder ] && [ -x target/standin-3 ] || { echo "build first" >&2; exit 2; }
dir=$(mktemp -d)
pids=()
# supervise starts a process again after it has ended, as the platform does.
supervise() {
    while [ ! -e "$dir/stop" ]; do
        PAPAYARUDDER_CONFIG="$dir/entry-$1.toml" target/papayarudder daemon >>"$dir/entry-$1.log" 2>&1 &
        echo $! >"$dir/entry-$1.new" && mv "$dir/entry-$1.new" "$dir/entry-$1.pid"
        { wait $!; } 2>/dev/null
        sleep 1
    done
}
stop_all() {
    touch "$dir/stop"
    for file in "$dir"/entry-*.pid; do [ -e "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null; done
    kill -TERM "$standin" 2>/dev/null
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
    [ -n "${KEEP:-}" ] && cp "$dir"/*.log "$KEEP"/
    rm -rf "$dir"
}
trap stop_all EXIT

timeout 110 target/standin-3 "$case_name" "$dir" "$record" &
standin=$!
pids+=("$standin")
for i in $(seq "$processes"); do
    for _ in $(seq 200); do [ -s "$dir/entry-$i.toml" ] && break; sleep 0.05; done
    [ -s "$dir/entry-$i.toml" ] || { echo "no settings for process $i" >&2; exit 2; }
    supervise "$i" &
    pids+=($!)
done
wait "$standin"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
