# Sourced by ./try-standlink --recovery N: kills processes with SIGKILL, N times each, and measures
# how long it takes until all 8 tasks run again, and whether a task was lost or ran in two places.
# A killed process stays dead until the tasks run again; then it is started anew.

running_on() {  # running_on I: the tasks that run on worker I
  curl -fs -m 2 "http://127.0.0.1:${ports[$1]}/tasks" | tr '{' '\n' | grep RUNNING |
    grep -o '"task":"[^"]*"'
}
all_running() { for w in 1 2 3; do running_on $w; done | sort; }
leader() {
  curl -fs -m 5 "$admin/v1/status" | grep -o '"leader":"vm-[0-9]*"' | grep -o '[0-9]*'
}
busiest_other() {  # busiest_other I: the VM with the most tasks that is not I
  local w
  for w in 1 2 3; do
    [ "$w" = "$1" ] || echo "$(running_on $w | wc -l) $w"
  done | sort -rn | head -n 1 | cut -d' ' -f2
}
await_running() {  # await_running SECONDS: prints the milliseconds until 8 tasks run, or "lost"
  local start now list
  start=$(date +%s%3N)
  while :; do
    list=$(all_running)
    if [ -n "$(echo "$list" | uniq -d)" ]; then doubled=$((doubled + 1)); fi
    now=$(date +%s%3N)
    if [ "$(echo "$list" | grep -c task)" -eq 8 ]; then took=$((now - start)); return 0; fi
    if [ $((now - start)) -gt $(($1 * 1000)) ]; then took=lost; return 1; fi
    sleep 0.1
  done
}
start_agent() {
  start agent-$1 agent --settings "$work/agent-$1.json" --log JSON
  agent_ids[$1]=$!
  order+=($!)
}
start_worker() {
  start worker-$1 stand-in worker --listen 127.0.0.1:${ports[$1]} --cores 8 --memory 16000 --lease 3000
  worker_ids[$1]=$!
  stand_ins+=($!)
}
measure_recovery() {
  local kind n victim lost=0 times held
  doubled=0
  await_running 40 || fail "the tasks do not run"
  for kind in leader agent worker; do
    times=""
    held=""
    for n in $(seq "$1"); do
      victim=$(leader)
      if [ "$kind" != leader ]; then victim=$(busiest_other "$victim"); fi
      held="$held $(running_on "$victim" | wc -l)"
      if [ "$kind" = worker ]; then
        kill -KILL "${worker_ids[$victim]}"
        sleep 1
        start_worker "$victim"
        sleep 2
      else
        kill -KILL "${agent_ids[$victim]}"
        sleep 4   # the tasks on its worker go on until their lease lapses
      fi
      await_running 60 || lost=$((lost + 1))
      times="$times $took"
      if [ "$kind" != worker ]; then
        start_agent "$victim"
        wait_ready "http://127.0.0.1:${ports[$((victim + 9))]}"
        sleep 3
      fi
    done
    echo "recovery: $kind killed $1 times, ms until all tasks run, after the first 3 to 4 s:$times (tasks it held:$held)"
  done
  echo "recovery: tasks lost $lost, seen in two places $doubled"
  [ "$lost" -eq 0 ] && [ "$doubled" -eq 0 ]
}

publish_next() {  # signs the next version and submits it to the entry; sets began to its start
  version=$((version + 1))
  sed "s/\"version\": 1, \"base\": 0/\"version\": $version, \"base\": $((version - 1))/" \
    "$work/bundle.json" >"$work/next.json"
  ./standlink bundle sign "$work/next.json" --operator ana --key "$work/ana.key" --out "$work/once.json" >/dev/null
  ./standlink bundle sign "$work/once.json" --operator ivo --key "$work/ivo.key" --out "$work/next-signed.json" >/dev/null
  [ -z "${1:-}" ] || kill -KILL "$1"
  began=$(date +%s%3N)
  curl -fs -X POST --data-binary @"$work/next-signed.json" "$admin/v1/bundle" >/dev/null
}
await_version() {  # await_version WORKERS: milliseconds until so many VMs have the version in force
  local count
  while :; do
    count=$(curl -fs -m 5 "$admin/v1/status" | tr '{' '\n' | grep '"vm"' |
      grep -c "\"bundle\":$version,")
    took=$(($(date +%s%3N) - began))
    [ "$count" -ge "$1" ] && return 0
    [ "$took" -gt 60000 ] && { took=lost; return 1; }
    sleep 0.1
  done
}
measure_rollout() {  # measure_rollout N: from the submission to the last VM
  local n times="" victim
  version=1
  for n in $(seq "$1"); do
    publish_next
    await_version 3
    times="$times $took"
  done
  echo "rollout: ms from submission until in force on 3 of 3 VMs:$times"
  times=""
  for n in $(seq "$1"); do
    victim=$(leader)
    publish_next "${agent_ids[$victim]}"
    await_version 2
    times="$times $took"
    start_agent "$victim"
    wait_ready "http://127.0.0.1:${ports[$((victim + 9))]}"
    sleep 12
  done
  echo "rollout: ms with the leader killed at the submission, 2 of 2 VMs left:$times"
}
