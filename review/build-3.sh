#!/bin/sh
# Builds the stand-ins of the cases 9 to 13, after the build of the deploy file. They go to
# target/review-3 and use the libraries of the project's own jar.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -nowarn -d target/review-3 -cp target/standlink-0.1.0.jar review/standins-3/*.java
