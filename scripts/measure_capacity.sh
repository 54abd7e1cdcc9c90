#!/usr/bin/env bash
# Measures the slopes behind docs/CAPACITY.md on one machine and writes
# docs/capacity/*.csv, a fit of each and a plot (SVG). Under 300 processes.
#   measure_capacity.sh [PART...]   parts: decisions traffic links kept teams
#                                   changes adoption; all without arguments
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh release >/dev/null
bin=build/release/bin
out=docs/capacity
mkdir -p "$out"
work=$(mktemp -d)
trap 'for d in "$work"/*/; do scripts/deployment.sh stop "$d"; done; rm -rf "$work"' EXIT
export GLENHOLLOW_TOKEN=demo-operator-token

deploy() { # NAME DEFAULTS FLAGS...: sets dir
    dir=$work/$1
    mkdir -p "$dir"
    printf '%b' "$2" >"$dir/defaults"
    scripts/deployment.sh start "$dir" --defaults "$dir/defaults" "${@:3}"
}
halt() { scripts/deployment.sh stop "$dir"; }
entry_port() { cut -d' ' -f1 "$dir/entry-$1.port"; }
entry_url() { echo "127.0.0.1:$(entry_port "$1")"; }
# Microseconds of processor time of the processes whose pid files match.
cpu_us() {
    local file ticks=0
    for file in "$dir"/$1.pid; do
        ticks=$((ticks + $(awk '{print $14 + $15}' "/proc/$(cat "$file")/stat")))
    done
    echo $((ticks * 10000))
}
rss_kb() { awk '/VmRSS/{print $2}' "/proc/$(cat "$dir/$1.pid")/status"; }
metric() { # ENTRY REGEX: the sum of matching series
    curl -s "http://$(entry_url "$1")/metrics" |
        awk -v want="$2" '$0 ~ "^glenhollow_" want {s += $2} END {printf "%.0f\n", s}'
}
agent_metric() {
    curl -s "http://127.0.0.1:$(cut -d' ' -f2 "$dir/agent-$1.port")/metrics" |
        awk -v want="$2" '$0 ~ "^glenhollow_" want {s += $2} END {printf "%.0f\n", s}'
}
say() { "$bin/glenhollow" --entry "$(entry_url e1)" --json -c "$1"; }

fit() { # CSV X Y TITLE XLABEL YLABEL: writes a fit line and a plot
    local csv=$1 x=$2 y=$3 name
    name=$(basename "$csv" .csv)-$y
    gnuplot <<EOF >>"$out/fits.txt" 2>&1
set datafile separator ','
set print '-'
stats '$csv' using $x:$y every ::1 name 'S' nooutput
print sprintf('$name: slope %.6g, offset %.6g, correlation %.4f, slope error %.3g, points %d', S_slope, S_intercept, S_correlation, S_slope_err, S_records)
set terminal svg size 560,380 font 'sans,11'
set output '$out/$name.svg'
set title '$4'
set xlabel '$5'
set ylabel '$6'
set key left top
set grid
plot '$csv' using $x:$y every ::1 with points pt 7 title 'measured', S_slope*x + S_intercept title sprintf('%.4g x + %.4g', S_slope, S_intercept)
EOF
}

part_decisions() {
    "$bin/decision_benchmark" >"$out/decisions.csv"
}

part_traffic() { # processor time of a start at entry and agent
    local csv=$out/traffic.csv rate starts e0 a0 t0 b0 e1 a1
    echo "starts_per_s,entry_cpu_us_per_s,agent_cpu_us_per_s,link_bytes_per_s" >"$csv"
    for rate in 25 50 100 200 400; do
        deploy "traffic$rate" '' --entries 1 --runners 10 --halls 1
        e0=$(cpu_us 'entry-*') a0=$(cpu_us 'agent-*')
        b0=$(metric e1 link_bytes_total) t0=$(date +%s.%N)
        "$bin/glenhollow-load" --deployment "$dir/deployment.json" \
            --rate "$rate" --jobs $((rate * 8)) --tasks 20 --work-ms 0 \
            --json >"$dir/out.json"
        e1=$(cpu_us 'entry-*') a1=$(cpu_us 'agent-*')
        starts=$(jq .tasks_complete "$dir/out.json")
        awk -v n="$starts" -v t0="$t0" -v t1="$(date +%s.%N)" -v e=$((e1 - e0)) \
            -v a=$((a1 - a0)) -v b=$(($(metric e1 link_bytes_total) - b0)) \
            'BEGIN {t = t1 - t0; printf "%.0f,%.0f,%.0f,%.0f\n", n/t, e/t, a/t, b/t}' >>"$csv"
        halt
    done
    fit "$csv" 1 2 'Entry: processor time' 'task starts a second' 'us of processor a second'
    fit "$csv" 1 3 'Ten agents: processor time' 'task starts a second' 'us of processor a second'
    fit "$csv" 1 4 'Links: bytes' 'task starts a second' 'bytes a second'
}

part_links() { # what an idle link costs at its heartbeat
    local csv=$out/links.csv n e0 a0 b0 m0 s=20
    echo "links,entry_cpu_us_per_s,agent_cpu_us_per_s_each,bytes_per_s,messages_per_s,entry_rss_kb,agent_rss_kb" >"$csv"
    for n in 10 25 50 100; do
        deploy "links$n" 'set heartbeat_s 1\n' --entries 1 --runners "$n" \
            --halls 1 --agents-per-runner 50
        sleep 2
        e0=$(cpu_us 'entry-*') a0=$(cpu_us 'agent-*')
        b0=$(metric e1 link_bytes_total) m0=$(metric e1 'link_messages_total.*ping')
        sleep "$s"
        awk -v n="$n" -v s="$s" -v e=$(($(cpu_us 'entry-*') - e0)) \
            -v a=$(($(cpu_us 'agent-*') - a0)) \
            -v b=$(($(metric e1 link_bytes_total) - b0)) \
            -v m=$(($(metric e1 'link_messages_total.*ping') - m0)) \
            -v re="$(rss_kb entry-e1)" -v ra="$(rss_kb agent-r1)" \
            'BEGIN {printf "%d,%.0f,%.0f,%.0f,%.1f,%d,%d\n", n, e/s, a/s/n, b/s, m/s, re, ra}' >>"$csv"
        halt
    done
    fit "$csv" 1 2 'Idle links, heartbeat 1 s: entry' 'links' 'us of processor a second'
    fit "$csv" 1 4 'Idle links, heartbeat 1 s: bytes' 'links' 'bytes a second'
    fit "$csv" 1 6 'Entry: memory of links' 'links' 'resident kB'
}

part_kept() { # memory of kept jobs at the entry, of records at agents
    local csv=$out/kept.csv n
    echo "kept_jobs,entry_rss_kb,agents_rss_kb,agent_records" >"$csv"
    for n in 0 2500 5000 7500 10000; do
        deploy "kept$n" '' --entries 1 --runners 4 --halls 1
        if [ "$n" -gt 0 ]; then
            "$bin/glenhollow-load" --deployment "$dir/deployment.json" \
                --rate 1000 --jobs "$n" --tasks 4 --work-ms 0 --json >/dev/null
        fi
        awk -v n="$n" -v e="$(rss_kb entry-e1)" \
            -v a="$(($(rss_kb agent-r1) + $(rss_kb agent-r2) + $(rss_kb agent-r3) + $(rss_kb agent-r4)))" \
            -v r="$(($(agent_metric r1 'agent_records ') + $(agent_metric r2 'agent_records ') + $(agent_metric r3 'agent_records ') + $(agent_metric r4 'agent_records ')))" \
            'BEGIN {printf "%d,%d,%d,%d\n", n, e, a, r}' >>"$csv"
        halt
    done
    fit "$csv" 1 2 'Entry: memory of kept jobs of 4 tasks' 'kept jobs' 'resident kB'
    fit "$csv" 4 3 'Four agents: memory of records' 'records' 'resident kB'
}

part_teams() { # what quotas cost between entries: over quota, and within
    local csv=$out/teams.csv n b0 e0 m0 s=10 i quota
    echo "teams,peer_bytes_per_s_each,peer_messages_per_s_each,entry_cpu_us_per_s_each,quota" >"$csv"
    for n in 50 100 200 290 -290; do
        quota=0.1
        [ "$n" -lt 0 ] && quota=1000
        deploy "teams$n" '' --entries 3 --runners 4 --halls 1 \
            --entry-flags '--platform-reads 500 --platform-writes 100'
        for i in $(seq 1 "${n#-}"); do echo "set team load-$i quota $quota tasks/s"; done >"$dir/quotas"
        "$bin/glenhollow" --entry "$(entry_url e1)" --json -f "$dir/quotas" >/dev/null
        "$bin/glenhollow-load" --deployment "$dir/deployment.json" --rate 300 \
            --jobs $((300 * (s + 4))) --teams "${n#-}" --tasks 2 --work-ms 1 --json >/dev/null &
        sleep 3
        b0=$(metric e1 peer_bytes_total) e0=$(cpu_us 'entry-*')
        m0=$(metric e1 'peer_messages_total.*exchange')
        sleep "$s"
        awk -v n="${n#-}" -v s="$s" -v b=$(($(metric e1 peer_bytes_total) - b0)) \
            -v m=$(($(metric e1 'peer_messages_total.*exchange') - m0)) \
            -v e=$(($(cpu_us 'entry-*') - e0)) -v q="$quota" \
            'BEGIN {printf "%d,%.0f,%.2f,%.0f,%s\n", n, b/s, m/s, e/s/3, q}' >>"$csv"
        wait
        halt
    done
    grep -v ',1000$' "$csv" >"$work/over.csv"
    cp "$work/over.csv" "$work/teams.csv"
    fit "$work/teams.csv" 1 2 'Two peers: bytes at one entry, all teams over quota' 'teams over their quota' 'bytes a second'
}

part_changes() { # bytes, calls and time in force of a change
    local csv=$out/changes.csv times=$out/changes-in-force.csv n i b0 p0 w0 r0 a0 t0 want
    echo "changes,link_bytes,peer_bytes,platform_reads,platform_writes,agent_cpu_us_each" >"$csv"
    deploy changes '' --entries 3 --runners 20 --halls 1 --agents-per-runner 20 \
        --entry-flags '--platform-reads 500 --platform-writes 100'
    for n in 25 50 100 200; do
        b0=$(($(metric e1 link_bytes_total) + $(metric e2 link_bytes_total) + $(metric e3 link_bytes_total)))
        p0=$(($(metric e1 peer_bytes_total) + $(metric e2 peer_bytes_total) + $(metric e3 peer_bytes_total)))
        w0=$(metric e1 'platform_calls_total.*write') a0=$(cpu_us 'agent-*')
        r0=$(($(metric e1 'platform_calls_total.*read') + $(metric e2 'platform_calls_total.*read') + $(metric e3 'platform_calls_total.*read')))
        for i in $(seq 1 "$n"); do echo "set team team-$i quota $n tasks/s"; done >"$dir/changes"
        "$bin/glenhollow" --entry "$(entry_url e1)" --json -f "$dir/changes" >/dev/null
        sleep 2
        echo "$n,$(($(metric e1 link_bytes_total) + $(metric e2 link_bytes_total) + $(metric e3 link_bytes_total) - b0)),$(($(metric e1 peer_bytes_total) + $(metric e2 peer_bytes_total) + $(metric e3 peer_bytes_total) - p0)),$(($(metric e1 'platform_calls_total.*read') + $(metric e2 'platform_calls_total.*read') + $(metric e3 'platform_calls_total.*read') - r0)),$(($(metric e1 'platform_calls_total.*write') - w0)),$((($(cpu_us 'agent-*') - a0) / 20))" >>"$csv"
    done
    # From the answer "accepted" to the version in force on every process.
    echo "change,ms_to_entries,ms_to_all" >"$times"
    for i in $(seq 1 40); do
        want=$(say "set max_tasks $((500 + i))" | jq '.rows[0].version')
        t0=$(date +%s%N)
        for e in e1 e2 e3; do
            until [ "$(metric "$e" 'configuration_version ')" -ge "$want" ]; do :; done
        done
        t1=$(date +%s%N)
        for a in $(seq 1 20); do
            until [ "$(agent_metric "r$a" 'configuration_version ')" -ge "$want" ]; do :; done
        done
        echo "$i,$(((t1 - t0) / 1000000)),$((($(date +%s%N) - t0) / 1000000))" >>"$times"
    done
    halt
    fit "$csv" 1 2 'Sixty links: bytes of changes' 'changes' 'bytes'
    fit "$csv" 1 3 'Three entries: bytes of changes' 'changes' 'bytes'
}

part_adoption() { # what a dead entry costs: fences and the time to an answer
    local csv=$out/adoption.csv n id t0 a0
    echo "agents,ms_to_answer,agent_cpu_us_each" >"$csv"
    for n in 10 25 50 100; do
        deploy "adoption$n" '' --entries 2 --runners "$n" --halls 1 --agents-per-runner 50
        id=$(curl -s -X POST "http://$(entry_url e2)/v1/submissions" | jq -r '.submissions[0]')
        curl -s -X PUT "http://$(entry_url e2)/v1/jobs/$id" \
            -d '{"team":"t","tasks":[{"payload":{"echo":1}}]}' >/dev/null
        a0=$(cpu_us 'agent-*')
        kill -KILL "$(cat "$dir/entry-e2.pid")"
        t0=$(date +%s%N)
        until curl -s "http://$(entry_url e1)/v1/jobs/$id" | grep -q complete; do sleep 0.01; done
        echo "$n,$((($(date +%s%N) - t0) / 1000000)),$((($(cpu_us 'agent-*') - a0) / n))" >>"$csv"
        halt
    done
    fit "$csv" 1 2 'Kill of an entry to its answer by another' 'agents' 'ms'
}

parts=("$@")
[ ${#parts[@]} -gt 0 ] || parts=(decisions traffic links kept teams changes adoption)
[ $# -gt 0 ] || : >"$out/fits.txt"
for part in "${parts[@]}"; do
    echo "measuring $part"
    "part_$part"
done
echo "cores: $(nproc)" >"$out/machine.txt"
