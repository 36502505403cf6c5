package org.kumquatvane.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/**
 * Mutex that guards one shared table. The acquisition order is checked against {@link LockRank}
 * when assertions are enabled.
 *
 * <p>The check is enabled when the system property {@code kumquatvane.assertions} is {@code true},
 * as in all tests. It costs one thread-local lookup per acquisition.
 */
public final class RankedLock {
  private static final boolean CHECKED = Boolean.getBoolean("kumquatvane.assertions");
  private static final ThreadLocal<Deque<LockRank>> HELD = ThreadLocal.withInitial(ArrayDeque::new);

  private final LockRank rank;
  private final ReentrantLock lock = new ReentrantLock();

  /**
   * Creates an unlocked lock.
   *
   * @param rank position of the guarded table in the lock order
   */
  public RankedLock(LockRank rank) {
    this.rank = rank;
  }

  /**
   * Runs an action under the lock.
   *
   * @param action short action that performs no I/O
   * @throws IllegalStateException if the thread already holds a lock of the same or a higher rank
   */
  public void run(Runnable action) {
    acquire();
    try {
      action.run();
    } finally {
      release();
    }
  }

  /**
   * Computes a value under the lock.
   *
   * @param action short computation that performs no I/O
   * @param <T> type of the value
   * @return the computed value
   * @throws IllegalStateException if the thread already holds a lock of the same or a higher rank
   */
  public <T> T call(Supplier<T> action) {
    acquire();
    try {
      return action.get();
    } finally {
      release();
    }
  }

  private void acquire() {
    if (CHECKED) {
      LockRank highest = HELD.get().peek();
      if (highest != null && highest.compareTo(rank) >= 0) {
        throw new IllegalStateException(
            "lock order violated: " + rank + " requested while holding " + highest);
      }
    }
    lock.lock();
    if (CHECKED) {
      HELD.get().push(rank);
    }
  }

  private void release() {
    if (CHECKED) {
      HELD.get().pop();
    }
    lock.unlock();
  }
}
