package org.kumquatvane.core;

/** Runs decisions on a fixed set of threads. */
public interface WorkerPool extends AutoCloseable {
  /**
   * Offers new work without blocking.
   *
   * @param task a short task that does no blocking input or output
   * @return false if the queue for new work is full or the pool is closed; the task will not run
   */
  boolean offer(Runnable task);

  /**
   * Continues work that was accepted before. Never refused while the pool is open, since refusing
   * would strand a request; the number of such tasks is bounded by the requests in flight.
   *
   * @param task a short task that does no blocking input or output
   */
  void resume(Runnable task);

  /**
   * Returns the number of tasks that wait for a thread.
   *
   * @return waiting tasks
   */
  int queued();

  /** Stops accepting tasks and ends the threads once the queued tasks have run. */
  @Override
  void close();
}
