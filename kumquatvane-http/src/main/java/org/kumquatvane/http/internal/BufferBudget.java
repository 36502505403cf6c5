package org.kumquatvane.http.internal;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the total memory of the buffered request and response bodies of a VM. */
final class BufferBudget {
  private final long maximumBytes;
  private final AtomicLong reservedBytes = new AtomicLong();

  BufferBudget(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  boolean reserve(long bytes) {
    if (reservedBytes.addAndGet(bytes) > maximumBytes) {
      reservedBytes.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  void release(long bytes) {
    reservedBytes.addAndGet(-bytes);
  }
}
