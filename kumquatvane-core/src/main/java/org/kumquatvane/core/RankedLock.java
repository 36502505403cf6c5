package org.kumquatvane.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/**
 * Mutual exclusion for one shared table, checked against {@link LockRank} when assertions are on.
 *
 * <p>The check is on when the system property {@code kumquatvane.assertions} is {@code true}, as in
 * every test. It costs a thread-local look-up on each acquisition.
 */
public final class RankedLock {
  private static final boolean CHECKED = Boolean.getBoolean("kumquatvane.assertions");
  private static final ThreadLocal<Deque<LockRank>> HELD = ThreadLocal.withInitial(ArrayDeque::new);

  private final LockRank rank;
  private final ReentrantLock lock = new ReentrantLock();

  /**
   * Creates an open lock.
   *
   * @param rank place of the guarded table in the lock order
   */
  public RankedLock(LockRank rank) {
    this.rank = rank;
  }

  /**
   * Runs an action under the lock.
   *
   * @param action a short action that does no input or output
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
   * @param action a short computation that does no input or output
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
