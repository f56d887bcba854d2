#!/usr/bin/env bash
# Measures how long an idle agent and an idle entry take to start, and their resident memory.
#   bench/startup.sh [N]   N starts of each, 3 if not said; needs the jar and the class archive
set -u
cd "$(dirname "$0")/.." || exit 1
work=$(mktemp -d)
ids=()
trap 'kill -TERM "${ids[@]}" 2>/dev/null; rm -rf "$work"' EXIT
mapfile -t ports < <(./standlink stand-in ports --count 5)
./standlink stand-in platform --listen 127.0.0.1:${ports[0]} >"$work/platform.log" 2>&1 &
ids+=($!)
platform=http://127.0.0.1:${ports[0]}
cat >"$work/agent.json" <<JSON
{"vm": "vm-1", "listen": "127.0.0.1:${ports[1]}", "adminListen": "127.0.0.1:${ports[2]}",
 "platform": "$platform", "worker": "$platform", "upstream": "$platform"}
JSON
cat >"$work/entry.json" <<JSON
{"name": "entry-1", "hall": "h", "listen": "127.0.0.1:${ports[3]}", "adminListen": "127.0.0.1:${ports[4]}",
 "platform": "$platform"}
JSON
for program in agent entry; do
  admin=${ports[2]}; [ $program = agent ] || admin=${ports[4]}
  for _ in $(seq "${1:-3}"); do
    began=$(date +%s%3N)
    ./standlink $program --settings "$work/$program.json" >"$work/$program.log" 2>&1 &
    id=$!
    until curl -fs "http://127.0.0.1:$admin/health/live" >/dev/null 2>&1; do sleep 0.02; done
    took=$(($(date +%s%3N) - began))
    sleep 3
    echo "$program: live after $took ms, $(grep -E 'VmRSS|RssAnon' /proc/$id/status | tr -s ' \t' ' ' | tr '\n' ' ')"
    kill -TERM $id; wait $id 2>/dev/null
  done
done
