#!/usr/bin/env bash
# Builds the stand-ins and checks of cases 11 to 15. Needs the build of the deploy file for the runs only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -Xlint:-options -d target/review-3 review/standins-3/*.java
