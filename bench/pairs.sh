#!/usr/bin/env bash
# Plays the same days and seeds from several source trees, so that ways of a decision are compared in pairs.
#
#   bench/pairs.sh FLEETBENCH SITES OUT JOBS LIST TREE...
#
# LIST has a line a day: site file below SITES without its ending, day, seed, further options of 'run'.
# Each TREE is a clone; its directory's name names the way. No processor time is charged, so that a play mostly
# repeats. Reports go to OUT; bench/pairs-table.py OUT prints them beside one another.
set -eu
fleetbench=$1 sites=$2 out=$3 jobs=$4 list=$5
shift 5
mkdir -p "$out"
for tree in "$@"; do
  while read -r line; do
    [ -z "$line" ] || echo "$tree $line"
  done < "$list"
done | sort -k 2 | xargs -P "$jobs" -L 1 bash -c '
  fleetbench=$0 sites=$1 out=$2 tree=$3 site=$4 day=$5 seed=$6
  shift 6
  name=$(basename "$tree").$(basename "$site").$(basename "$day" .toml).$seed
  cd "$tree" && "$fleetbench" run "$sites/$site.toml" "$day" --seed "$seed" --no-cpu "$@" \
    --why "pair, way $(basename "$tree")" > "$out/$name.out" 2>&1 || true' "$fleetbench" "$sites" "$out"
