package org.kumquatvane.standins;

/**
 * Parameter of a backend-server stand-in that can be changed while it runs; switches are 0 or 1.
 */
public enum BackendParameter {
  /** Number of requests that are processed at once. */
  SLOTS(3),
  /** Number of requests that may wait for a slot; further ones are shed. */
  QUEUE_LIMIT(0),
  /** Median processing time in milliseconds. */
  WORK_MILLIS(5),
  /** Standard deviation of the logarithm of the processing time. */
  WORK_SPREAD(0.3),
  /** Length of a response body in bytes. */
  ANSWER_BYTES(256),
  /** Time after the start, in milliseconds, during which processing is slow. */
  COLD_START_MILLIS(0),
  /** Factor on the processing time during the cold start. */
  COLD_FACTOR(4),
  /** Whether the instance is draining, as its responses and its health endpoint report. */
  DRAINING(0),
  /** Whether every response names the request that it answers. */
  ECHO_REQUEST_ID(1),
  /** Whether the health endpoint returns 200 in every state. */
  HEALTH_LIES(0),
  /**
   * Half-period in milliseconds with which the gray modes are switched on and off; 0 leaves them
   * on.
   */
  FLAP_MILLIS(0),
  /** Gray mode: factor on the processing time. */
  SLOW_FACTOR(1),
  /** Gray mode: share of requests that receive no response. */
  HANG_SHARE(0),
  /** Gray mode: share of responses whose body is truncated. */
  TRUNCATE_SHARE(0),
  /** Gray mode: share of responses that belong to another request. */
  CROSS_SHARE(0),
  /** Gray mode: share of requests that fail with status 500. */
  ERROR_SHARE(0),
  /** Gray mode: share of requests shed although a slot is free. */
  SHED_SHARE(0);

  private final double initial;

  BackendParameter(double initial) {
    this.initial = initial;
  }

  /**
   * Returns the initial value.
   *
   * @return a number
   */
  public double initial() {
    return initial;
  }
}
