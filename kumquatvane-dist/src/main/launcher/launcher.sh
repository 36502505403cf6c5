#!/bin/sh
# Replaces this shell by the JVM, so that signals reach it and no second process stays behind.
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" ${KUMQUATVANE_JAVA_OPTIONS:-} -jar "$0" "$@"
exit 1
