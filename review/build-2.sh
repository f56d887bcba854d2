#!/usr/bin/env bash
# Compiles the stand-ins of the second review into target/review-2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp target/standlink-0.1.0.jar review/standins-2/*.java
