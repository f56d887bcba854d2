#!/bin/sh
# Shows whether starts reach a minion that has been draining for long. TROUBLE=0: all orders are answered.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
timeout -k 3 114 java -Xmx128m -cp "$root/target/review-3:$root/target/standlink-0.1.0.jar" \
  DrainingMinion "$root" "$here/record.txt" "$@"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
