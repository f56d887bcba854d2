#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the review into target/review, against the project's jar.
set -eu
cd "$(dirname "$0")/.."
jar=target/standlink-0.1.0.jar
[ -f "$jar" ] || { echo "build the project first: mvn -q -B -DskipTests package" >&2; exit 2; }
mkdir -p target/review
javac -nowarn -d target/review -cp "$jar" review/standins/*.java review/*/Case*.java
