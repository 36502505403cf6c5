#!/usr/bin/env bash
# Runs the fault soak test with real processes: ./soak.sh [SEEDS] [SECONDS] [VMS] [INSTANCES], for example ./soak.sh 1-50 20 4 8
set -eu
cd "$(dirname "$0")"
[ -x target/kumquatvane ] || mvn -B -q -DskipTests package
mvn -B -q -pl kumquatvane-verification -am test -Dtest=FaultSoakTest -Dsurefire.failIfNoSpecifiedTests=false \
  -Dsoak.seeds="${1:-1-5}" -Dsoak.seconds="${2:-12}" -Dsoak.vms="${3:-3}" -Dsoak.instances="${4:-5}"
