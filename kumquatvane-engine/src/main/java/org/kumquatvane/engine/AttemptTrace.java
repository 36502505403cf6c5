package org.kumquatvane.engine;

import java.util.OptionalLong;

/**
 * Connection that an attempt used and response that it read, for the log.
 *
 * @param connection number of the connection, unique in the process; 0 if none was opened
 * @param requestsOnConnection number of requests sent on the connection so far, including this one
 * @param wasCarriedBefore whether the connection had carried a request with this ID before
 * @param isRequestWritten whether a byte of the request was written
 * @param status status read from the instance; 0 if no response head was read
 * @param declaredBytes declared length of the response body in bytes, if any
 * @param bodyBytes bytes of the response body read so far
 * @param extraBytes bytes received on the connection that belong to no response
 */
public record AttemptTrace(
    long connection,
    int requestsOnConnection,
    boolean wasCarriedBefore,
    boolean isRequestWritten,
    int status,
    OptionalLong declaredBytes,
    long bodyBytes,
    long extraBytes) {
  /** Trace of an attempt without a connection. */
  public static final AttemptTrace NONE =
      new AttemptTrace(0, 0, false, false, 0, OptionalLong.empty(), 0, 0);
}
