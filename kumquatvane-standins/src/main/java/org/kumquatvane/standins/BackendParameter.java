package org.kumquatvane.standins;

/** What can be changed on a backend-server stand-in while it runs; switches are 0 or 1. */
public enum BackendParameter {
  /** Requests worked on at once. */
  SLOTS(3),
  /** Requests that wait for a slot; further ones are shed. */
  QUEUE_LIMIT(0),
  /** Median time of the work in milliseconds. */
  WORK_MILLIS(5),
  /** Standard deviation of the logarithm of the time of the work. */
  WORK_SPREAD(0.3),
  /** Length of an answer's body in bytes. */
  ANSWER_BYTES(256),
  /** Time after the start during which work is slow. */
  COLD_START_MILLIS(0),
  /** Factor on the time of the work during the cold start. */
  COLD_FACTOR(4),
  /** Whether the instance drains: its answers and its health endpoint say so. */
  DRAINING(0),
  /** Whether the health endpoint says 200 in every state. */
  HEALTH_LIES(0),
  /** Gray modes are switched on and off with this half-period; 0 leaves them on. */
  FLAP_MILLIS(0),
  /** Gray mode: factor on the time of the work. */
  SLOW_FACTOR(1),
  /** Gray mode: share of requests that are never answered. */
  HANG_SHARE(0),
  /** Gray mode: share of answers whose body ends early. */
  TRUNCATE_SHARE(0),
  /** Gray mode: share of answers that belong to another request. */
  CROSS_SHARE(0),
  /** Gray mode: share of requests answered with 500. */
  ERROR_SHARE(0),
  /** Gray mode: share of requests shed although a slot is free. */
  SHED_SHARE(0);

  private final double initial;

  BackendParameter(double initial) {
    this.initial = initial;
  }

  /**
   * Returns the value at the start.
   *
   * @return a number
   */
  public double initial() {
    return initial;
  }
}
