package org.kumquatvane.peering.internal;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An encoded message that is queued for one or more VMs. Its bytes count once against the budget,
 * until the last connection has written or dropped it. Thread-safe.
 */
public final class OutgoingFrame {
  private final ByteBuffer bytes;
  private final ByteBudget budget;
  private final AtomicInteger holders = new AtomicInteger(1);

  private OutgoingFrame(ByteBuffer bytes, ByteBudget budget) {
    this.bytes = bytes;
    this.budget = budget;
  }

  /**
   * Creates a frame that is held by the caller.
   *
   * @param bytes length prefix and body
   * @param budget budget of all queued frames
   * @return the frame, or empty if the budget is exhausted
   */
  public static Optional<OutgoingFrame> create(ByteBuffer bytes, ByteBudget budget) {
    return budget.tryReserve(bytes.remaining())
        ? Optional.of(new OutgoingFrame(bytes, budget))
        : Optional.empty();
  }

  /**
   * Returns the bytes of the frame.
   *
   * @return a view with its own position
   */
  public ByteBuffer view() {
    return bytes.asReadOnlyBuffer();
  }

  /**
   * Returns the size.
   *
   * @return number of bytes with the length prefix
   */
  public int sizeBytes() {
    return bytes.remaining();
  }

  /** Adds a holder. */
  public void retain() {
    holders.incrementAndGet();
  }

  /** Removes a holder; the last one frees the budget. */
  public void release() {
    if (holders.decrementAndGet() == 0) {
      budget.release(sizeBytes());
    }
  }
}
