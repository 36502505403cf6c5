#!/bin/sh
# Replaces the shell with the JVM, so that signals reach the JVM and no shell process remains.
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" ${KUMQUATVANE_JAVA_OPTIONS:-} -jar "$0" "$@"
exit 1
