#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the review into target/review, against the project's jar, unless
# that was done since they last changed.
set -eu
cd "$(dirname "$0")/.."
jar=target/standlink-0.1.0.jar
[ -f "$jar" ] || { echo "build the project first: mvn -q -B -DskipTests package" >&2; exit 2; }
mark=target/review/compiled
if [ -f "$mark" ] && [ -z "$(find review "$jar" -newer "$mark" \( -name '*.java' -o -name '*.jar' -o -name build.sh \))" ]; then
  exit 0
fi
mkdir -p target/review
javac -nowarn -d target/review -cp "$jar" review/standins/*.java review/[123]/Case*.java review/trials/*/*.java
touch "$mark"
