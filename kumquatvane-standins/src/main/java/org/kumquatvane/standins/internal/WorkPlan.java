package org.kumquatvane.standins.internal;

import java.time.Duration;

/**
 * What an instance does with one request.
 *
 * @param duration time of the work
 * @param responseMode how it ends
 */
public record WorkPlan(Duration duration, ResponseMode responseMode) {
  /** How a request ends. */
  public enum ResponseMode {
    /** The right answer. */
    ANSWER,
    /** No answer. */
    HANG,
    /** An answer whose body ends early. */
    TRUNCATE,
    /** The answer of another request. */
    CROSS,
    /** Status 500. */
    ERROR,
    /** Refused as not run. */
    SHED
  }
}
