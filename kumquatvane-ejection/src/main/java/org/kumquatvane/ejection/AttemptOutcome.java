package org.kumquatvane.ejection;

import java.time.Duration;

/**
 * What one attempt showed about its instance.
 *
 * @param kind the outcome
 * @param latency time from the start of the attempt to the head of the answer or to the failure
 */
public record AttemptOutcome(Kind kind, Duration latency) {
  /** Outcomes of attempts. */
  public enum Kind {
    /** A whole answer without a server error. */
    SUCCESS,
    /** An answer with a server error. */
    SERVER_ERROR,
    /** No answer before the deadline of the attempt. */
    TIMED_OUT,
    /** No connection could be made. */
    CONNECT_FAILED,
    /** The connection broke in mid-request. */
    CONNECTION_LOST,
    /** The answer was cut or crossed. */
    ANSWER_INVALID,
    /** The instance refused the work; no evidence of a failure. */
    SHED,
    /** The caller left; no evidence of a failure. */
    CANCELLED
  }
}
