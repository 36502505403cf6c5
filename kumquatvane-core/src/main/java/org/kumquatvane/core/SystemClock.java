package org.kumquatvane.core;

/** Clock of the operating system. */
public final class SystemClock implements Clock {
  @Override
  public long monotonicNanos() {
    return System.nanoTime();
  }

  @Override
  public long epochMillis() {
    return System.currentTimeMillis();
  }
}
