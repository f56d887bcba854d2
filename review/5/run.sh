#!/usr/bin/env bash
# Plays the case on loopback addresses. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -f target/review-2/Rig.class ] && [ -f target/standlink-0.1.0.jar ] || { echo "build first" >&2; exit 2; }
timeout 115 java -Xmx256m -Djdk.httpclient.allowRestrictedHeaders=host \
  -cp target/review-2:target/standlink-0.1.0.jar SoleAgent "${RECORD:-$folder/record.txt}"
code=$?
[ $code -le 2 ] || code=2
exit $code
