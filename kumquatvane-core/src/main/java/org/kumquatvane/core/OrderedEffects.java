package org.kumquatvane.core;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs what a decision under a lock leads to, after the lock is released and in the order of the
 * decisions, on one thread at a time.
 */
public final class OrderedEffects {
  private final Queue<Runnable> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger pending = new AtomicInteger();

  /**
   * Adds an effect; called under the lock.
   *
   * @param effect a message to send or a listener to call
   */
  public void add(Runnable effect) {
    queue.add(effect);
  }

  /**
   * Runs the waiting effects unless another thread does; called outside the lock. An effect that
   * fails does not keep the others from running; the first failure is thrown at the end.
   */
  public void drain() {
    if (pending.getAndIncrement() != 0) {
      return;
    }
    int seen = 1;
    RuntimeException failure = null;
    do {
      Runnable effect;
      while ((effect = queue.poll()) != null) {
        try {
          effect.run();
        } catch (RuntimeException e) {
          failure = failure == null ? e : failure;
        }
      }
      seen = pending.addAndGet(-seen);
    } while (seen != 0);
    if (failure != null) {
      throw failure;
    }
  }
}
