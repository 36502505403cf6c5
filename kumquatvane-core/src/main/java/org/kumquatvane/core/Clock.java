package org.kumquatvane.core;

/** Source of time, injected through constructors so that tests can run on simulated time. */
public interface Clock {
  /**
   * Returns the monotonic time.
   *
   * @return nanoseconds since an arbitrary origin; never decreases within a process
   */
  long monotonicNanos();

  /**
   * Returns the wall-clock time, used only for comparison with timestamps set by other systems.
   *
   * @return milliseconds since the Unix epoch
   */
  long epochMillis();
}
