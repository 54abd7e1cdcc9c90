#!/usr/bin/env bash
# A small deployment on free loopback ports:
#   deployment.sh start DIR [--entries 3] [--runners 10] [--halls 3]
#                 [--slots 8] [--threads 1] [--kind release]
#                 [--queue N] [--defaults FILE] [--trace-file FILE]
#                 [--trace-share SHARE] [--agents-per-runner 1]
#                 [--entry-flags 'FLAGS']
#   deployment.sh stop DIR
#   deployment.sh start-agent DIR NAME | start-entry DIR NAME
# `start` writes DIR/deployment.json; `stop` ends just the processes in it.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
usage() {
    sed -n '2,11p' "$0" >&2
    exit 2
}
[ $# -ge 2 ] || usage
verb=$1
dir=$2
shift 2
token=demo-operator-token

wait_for() { # FILE PID: until the process has written its ports
    for _ in $(seq 1 500); do
        [ -s "$1" ] && return 0
        kill -0 "$2" 2>/dev/null || break
        sleep 0.02
    done
    echo "deployment.sh: no ports in $1; see $dir/logs" >&2
    exit 1
}

announce() { # NAME ROLE HALL RPC
    curl -sf -X PUT "http://127.0.0.1:$(cat "$dir/platform.port")/vms/$1" \
        -d "{\"role\":\"$2\",\"hall\":\"$3\",\"rpc\":\"$4\",\"state\":\"live\"}" \
        >/dev/null
}

launch() { # NAME PROGRAM ARGS...: sets pid
    local name=$1 program=$2
    shift 2
    rm -f "$dir/$name.port"
    "$bin/$program" --port-file "$dir/$name.port" "$@" \
        >>"$dir/logs/$name.log" 2>&1 </dev/null &
    pid=$!
    disown "$pid"
    echo "$pid" >"$dir/$name.pid"
}

start_runner() { # NAME HALL
    launch "runner-$1" standin-runner
    wait_for "$dir/runner-$1.port" "$pid"
}

start_agent() { # NAME HALL
    launch "agent-$1" glenhollow-agent --name "$1" --hall "$2" \
        --runner "127.0.0.1:$(cat "$dir/runner-$(runner_of "$1").port")" \
        --slots "$slots" --queue "$queue" \
        ${trace_file:+--trace-file "$trace_file"}
    wait_for "$dir/agent-$1.port" "$pid"
    announce "$1" runner "$2" "127.0.0.1:$(cut -d' ' -f1 "$dir/agent-$1.port")"
}

start_entry() { # NAME HALL
    GLENHOLLOW_OPERATOR_TOKEN="operator:$token" launch "entry-$1" \
        glenhollow-entry --name "$1" --hall "$2" \
        --platform "127.0.0.1:$(cat "$dir/platform.port")" \
        --threads "$threads" --report-interval 2 $entry_flags \
        ${defaults:+--defaults "$defaults"} \
        ${trace_file:+--trace-file "$trace_file" --trace-share "$trace_share"}
    wait_for "$dir/entry-$1.port" "$pid"
    announce "$1" entry "$2" "127.0.0.1:$(cut -d' ' -f2 "$dir/entry-$1.port")"
}

# Several agents can share a stand-in runner where only agents matter.
runner_of() {
    local i=${1#r}
    echo "r$(((i - 1) / per_runner * per_runner + 1))"
}

hall_of() { echo "h$((($1 - 1) % halls + 1))"; }

process_rows() { # PREFIX COUNT WITH_HTTP PID_PREFIX
    local sep="" i
    for i in $(seq 1 "$2"); do
        [ -e "$dir/$4-$1$i.pid" ] || continue
        printf '%s{"name":"%s%d",' "$sep" "$1" "$i"
        [ -n "$3" ] && printf '"http":"127.0.0.1:%s",' \
            "$(cut -d' ' -f1 "$dir/$4-$1$i.port")"
        printf '"pid":%s}' "$(cat "$dir/$4-$1$i.pid")"
        sep=,
    done
}

write_json() {
    {
        printf '{"operator_token":"%s",' "$token"
        printf '"platform":{"http":"127.0.0.1:%s","pid":%s},' \
            "$(cat "$dir/platform.port")" "$(cat "$dir/platform.pid")"
        printf '"entries":[%s],' "$(process_rows e "$entries" y entry)"
        printf '"runners":[%s],' "$(process_rows r "$runners" y runner)"
        printf '"agents":[%s]}\n' "$(process_rows r "$runners" '' agent)"
    } >"$dir/deployment.json"
}

# Waits until every entry has a link to every agent and to every peer.
wait_for_links() {
    local i up
    for i in $(seq 1 "$entries"); do
        for _ in $(seq 1 500); do
            up=$(curl -s "http://127.0.0.1:$(cut -d' ' -f1 "$dir/entry-e$i.port")/metrics" |
                awk '/^glenhollow_links_up /{l=$2} /^glenhollow_peers_up /{p=$2} END{print l+0, p+0}')
            [ "$up" = "$((runners * threads)) $((entries - 1))" ] && break
            sleep 0.02
        done
    done
}

settings_file="$dir/settings.sh"
case "$verb" in
start)
    entries=3 runners=10 halls=3 slots=8 threads=1 kind=release queue=64
    defaults="" trace_file="" trace_share=0 per_runner=1 entry_flags=""
    while [ $# -gt 0 ]; do
        [ $# -ge 2 ] || usage
        case "$1" in
        --entries) entries=$2 ;;
        --runners) runners=$2 ;;
        --halls) halls=$2 ;;
        --slots) slots=$2 ;;
        --threads) threads=$2 ;;
        --kind) kind=$2 ;;
        --queue) queue=$2 ;;
        --defaults) defaults=$(readlink -f "$2") ;;
        --trace-file) trace_file=$(readlink -m "$2") ;;
        --trace-share) trace_share=$2 ;;
        --agents-per-runner) per_runner=$2 ;;
        --entry-flags) entry_flags=$2 ;;
        *) usage ;;
        esac
        shift 2
    done
    bin="$root/build/$kind/bin"
    mkdir -p "$dir/logs"
    dir=$(cd "$dir" && pwd)
    declare -p entries runners halls slots threads kind queue defaults \
        trace_file trace_share per_runner entry_flags bin | sed 's/^declare -[-a-z]* //' >"$dir/settings.sh"
    launch platform standin-platform
    wait_for "$dir/platform.port" "$pid"
    for i in $(seq 1 "$runners"); do
        [ "$(runner_of "r$i")" = "r$i" ] && start_runner "r$i"
        start_agent "r$i" "$(hall_of "$i")"
    done
    for i in $(seq 1 "$entries"); do
        start_entry "e$i" "$(hall_of "$i")"
    done
    wait_for_links
    write_json
    ;;
start-agent | start-entry)
    [ $# -eq 1 ] || usage
    dir=$(cd "$dir" && pwd)
    # shellcheck disable=SC1090
    . "$settings_file"
    hall=$(hall_of "${1//[^0-9]/}")
    if [ "$verb" = start-agent ]; then
        start_agent "$1" "$hall"
    else
        start_entry "$1" "$hall"
    fi
    write_json
    ;;
stop)
    for file in "$dir"/*.pid; do
        [ -e "$file" ] || continue
        process=$(cat "$file")
        kill -CONT "$process" 2>/dev/null || true
        kill -TERM "$process" 2>/dev/null || true
    done
    for file in "$dir"/*.pid; do
        [ -e "$file" ] || continue
        process=$(cat "$file")
        for _ in $(seq 1 250); do
            kill -0 "$process" 2>/dev/null || break
            sleep 0.02
        done
        kill -KILL "$process" 2>/dev/null || true
        rm -f "$file"
    done
    ;;
*) usage ;;
esac
