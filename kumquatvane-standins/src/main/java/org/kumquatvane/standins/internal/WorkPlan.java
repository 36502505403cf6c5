package org.kumquatvane.standins.internal;

import java.time.Duration;

/**
 * How an instance processes one request.
 *
 * @param duration processing time
 * @param responseMode how the instance responds
 */
public record WorkPlan(Duration duration, ResponseMode responseMode) {
  /** How an instance responds to a request. */
  public enum ResponseMode {
    /** The correct response. */
    ANSWER,
    /** No response. */
    HANG,
    /** A response whose body is truncated. */
    TRUNCATE,
    /** The response to another request. */
    CROSS,
    /** Status 500. */
    ERROR,
    /** Refused as not run. */
    SHED
  }
}
