#!/bin/sh
# Replaces the shell with the JVM, so that signals reach the JVM and no shell process remains.
java="${JAVA_HOME:+$JAVA_HOME/bin/}java"
if env --default-signal=HUP true 2>/dev/null; then
  # A JVM that starts with SIGHUP ignored, as below nohup, would never reload its settings.
  exec env --default-signal=HUP "$java" -XX:+ExitOnOutOfMemoryError ${KUMQUATVANE_JAVA_OPTIONS:-} -jar "$0" "$@"
fi
exec "$java" -XX:+ExitOnOutOfMemoryError ${KUMQUATVANE_JAVA_OPTIONS:-} -jar "$0" "$@"
exit 1
