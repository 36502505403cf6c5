package org.kumquatvane.ejection;

import java.time.Duration;

/**
 * Outcome and latency of one attempt at an instance.
 *
 * @param kind the outcome
 * @param latency time from the start of the attempt to the response head or to the failure
 */
public record AttemptOutcome(Kind kind, Duration latency) {
  /** Outcomes of attempts. */
  public enum Kind {
    /** A complete response without a server error. */
    SUCCESS,
    /** A response with a server error. */
    SERVER_ERROR,
    /** No response before the deadline of the attempt. */
    TIMED_OUT,
    /** No connection could be made. */
    CONNECT_FAILED,
    /** The connection broke during the request. */
    CONNECTION_LOST,
    /** The response was truncated or belonged to another request. */
    ANSWER_INVALID,
    /** The instance shed the request; not evidence of a failure. */
    SHED,
    /** The caller disconnected; not evidence of a failure. */
    CANCELLED
  }
}
