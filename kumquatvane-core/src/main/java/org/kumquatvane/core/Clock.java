package org.kumquatvane.core;

/** Source of time. Every module receives it in its constructor, so tests run on logical time. */
public interface Clock {
  /**
   * Returns the monotonic time.
   *
   * @return nanoseconds since an arbitrary origin; never decreases within a process
   */
  long monotonicNanos();

  /**
   * Returns the wall-clock time, used only to compare with times that other parties wrote.
   *
   * @return milliseconds since the Unix epoch
   */
  long epochMillis();
}
