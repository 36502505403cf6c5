package org.kumquatvane.core;

/** Counters incremented by the decision modules and published by the telemetry module. */
public interface Counters {
  /**
   * Counts one refusal or retry.
   *
   * @param reason the reason
   */
  void count(Reason reason);

  /**
   * Adds to a named counter.
   *
   * @param name dotted lower-case name
   * @param amount amount to add, not negative
   */
  void add(String name, long amount);

  /**
   * Records a duration in a named histogram.
   *
   * @param name dotted lower-case name
   * @param nanos the duration in nanoseconds, not negative
   */
  default void recordDuration(String name, long nanos) {}
}
