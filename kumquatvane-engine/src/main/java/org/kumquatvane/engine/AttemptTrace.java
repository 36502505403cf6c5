package org.kumquatvane.engine;

import java.util.OptionalLong;

/**
 * Connection that an attempt used and response that it read, for the log.
 *
 * @param connection number of the connection, unique in the process; 0 if none was opened
 * @param requestsOnConnection number of requests sent on the connection so far, including this one
 * @param status status read from the instance; 0 if no response head was read
 * @param declaredBytes declared length of the response body in bytes, if any
 * @param bodyBytes bytes of the response body read so far
 */
public record AttemptTrace(
    long connection,
    int requestsOnConnection,
    int status,
    OptionalLong declaredBytes,
    long bodyBytes) {
  /** Trace of an attempt without a connection. */
  public static final AttemptTrace NONE = new AttemptTrace(0, 0, 0, OptionalLong.empty(), 0);
}
