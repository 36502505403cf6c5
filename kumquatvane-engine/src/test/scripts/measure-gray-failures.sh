#!/bin/sh
# Prints the tables of the section "Gray failures" of docs/measurements.md.
# Run from the root after: mvn -B -q -pl kumquatvane-engine -am test-compile
# Arguments: number of seeds, then the tables: faults false greedy retry near
repository="${HOME}/.m2/repository"
libraries=$(find "$repository" -name 'commons-rng-*-1.6.jar' -o -name 'jspecify-1.0.0.jar' | tr '\n' ':')
modules=$(find . -path './kumquatvane-*/target/classes' -prune | tr '\n' ':')
exec java -Xmx1500m -cp "${libraries}${modules}kumquatvane-engine/target/test-classes" \
  org.kumquatvane.engine.gray.GrayMeasurements "$@"
