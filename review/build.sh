#!/usr/bin/env bash
# Compiles the stand-ins and the cases with the JDK alone.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir -p build/classes
javac -Xlint:all -d build/classes standins/*.java
