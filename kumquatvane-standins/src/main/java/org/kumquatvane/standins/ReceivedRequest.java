package org.kumquatvane.standins;

import org.jspecify.annotations.Nullable;

/**
 * A request that a backend-server stand-in received.
 *
 * @param sequence order of arrival, from 1
 * @param requestId value of {@code Kumquatvane-Request-Id}
 * @param workspace value of {@code Kumquatvane-Workspace}
 * @param idempotencyKey value of {@code Idempotency-Key}
 * @param method HTTP method
 * @param target path and query
 * @param timeoutMillis value of {@code Kumquatvane-Timeout-Millis}, -1 if absent
 * @param callerKeySeen whether the target, a header field or a trailer field contained a caller's
 *     key
 * @param startMillis wall-clock time at which the work began, 0 if it never began
 * @param endMillis wall-clock time at which the work ended, 0 if it has not
 * @param outcome how the request ended
 */
public record ReceivedRequest(
    long sequence,
    @Nullable String requestId,
    @Nullable String workspace,
    @Nullable String idempotencyKey,
    String method,
    String target,
    long timeoutMillis,
    boolean callerKeySeen,
    long startMillis,
    long endMillis,
    Outcome outcome) {
  /** How a request ended. */
  public enum Outcome {
    /** It waits for a slot. */
    WAITING,
    /** It was refused without being run. */
    SHED,
    /** It is running. */
    RUNNING,
    /** A response was sent; in a gray mode it may be a wrong one. */
    ANSWERED,
    /** Work was stopped at the deadline of the request. */
    TIMED_OUT,
    /** Work was stopped because the connection was closed. */
    CANCELLED
  }

  /**
   * Returns whether the request started to run.
   *
   * @return true if the request ran, wholly or in part
   */
  public boolean hasStarted() {
    return startMillis != 0;
  }

  ReceivedRequest withStart(long nowMillis) {
    return copy(nowMillis, 0, Outcome.RUNNING);
  }

  ReceivedRequest withEnd(long nowMillis, Outcome newOutcome) {
    return copy(startMillis, nowMillis, newOutcome);
  }

  private ReceivedRequest copy(long start, long end, Outcome newOutcome) {
    return new ReceivedRequest(
        sequence,
        requestId,
        workspace,
        idempotencyKey,
        method,
        target,
        timeoutMillis,
        callerKeySeen,
        start,
        end,
        newOutcome);
  }
}
