package org.kumquatvane.http.internal;

/** Part of a {@link BufferBudget} that one response has reserved. */
final class BufferReservation {
  private final BufferBudget budget;
  private long reservedBytes;
  private boolean released;

  BufferReservation(BufferBudget budget) {
    this.budget = budget;
  }

  /** Reserves further bytes; returns false if the budget is exhausted or this is released. */
  synchronized boolean grow(long bytes) {
    if (released || !budget.reserve(bytes)) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  /** Returns all bytes to the budget; further calls have no effect. */
  synchronized void release() {
    if (!released) {
      released = true;
      budget.release(reservedBytes);
    }
  }
}
