#!/usr/bin/env bash
# Runs the trial: exit 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../../.." || exit 2
review/build.sh || exit 2
exec java -cp target/review:target/standlink-0.1.0.jar ManyTimes review/trials/many-times
