package org.kumquatvane.peering.internal;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bound on the bytes that all connections hold together. The bound of one connection alone would
 * grow with the number of VMs. Thread-safe.
 */
public final class ByteBudget {
  private final long maximumBytes;
  private final AtomicLong reservedBytes = new AtomicLong();

  /**
   * Creates an unused budget.
   *
   * @param maximumBytes bytes that may be reserved at the same time
   */
  public ByteBudget(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /**
   * Reserves bytes until they are released.
   *
   * @param bytes number of bytes
   * @return whether there was room for them
   */
  public boolean tryReserve(long bytes) {
    if (reservedBytes.addAndGet(bytes) <= maximumBytes) {
      return true;
    }
    reservedBytes.addAndGet(-bytes);
    return false;
  }

  /**
   * Releases reserved bytes.
   *
   * @param bytes number of bytes
   */
  public void release(long bytes) {
    reservedBytes.addAndGet(-bytes);
  }

  /**
   * Returns the bytes that are reserved.
   *
   * @return number of bytes
   */
  public long reservedBytes() {
    return reservedBytes.get();
  }
}
