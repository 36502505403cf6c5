package org.kumquatvane.core;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * Queue of side effects that are decided under a lock and run after it is released, in the order in
 * which they were added and by one thread at a time.
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
   * Runs the queued effects unless another thread is running them; must be called without holding
   * the lock. A failed effect does not prevent the remaining ones from running; the first exception
   * or error is rethrown at the end.
   */
  public void drain() {
    if (pending.getAndIncrement() != 0) {
      return;
    }
    int seen = 1;
    @Nullable Throwable failure = null;
    do {
      Runnable effect;
      while ((effect = queue.poll()) != null) {
        try {
          effect.run();
        } catch (RuntimeException | Error e) { // An error must not leave the counter above zero.
          failure = failure == null ? e : failure;
        }
      }
      seen = pending.addAndGet(-seen);
    } while (seen != 0);
    if (failure instanceof Error error) {
      throw error;
    }
    if (failure instanceof RuntimeException exception) {
      throw exception;
    }
  }
}
