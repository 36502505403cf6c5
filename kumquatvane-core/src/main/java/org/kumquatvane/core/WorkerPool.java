package org.kumquatvane.core;

/** Runs short tasks on a fixed number of threads. */
public interface WorkerPool extends AutoCloseable {
  /**
   * Offers new work without blocking.
   *
   * @param task short task that performs no blocking I/O
   * @return false if the queue for new work is full or the pool is closed; the task will not run
   */
  boolean offer(Runnable task);

  /**
   * Submits a continuation of accepted work. Never rejected while the pool is open, since a
   * rejection would leave a request unfinished; the number of such tasks is bounded by the requests
   * in flight.
   *
   * @param task short task that performs no blocking I/O
   */
  void resume(Runnable task);

  /**
   * Returns the number of tasks that are waiting for a thread.
   *
   * @return waiting tasks
   */
  int queued();

  /** Stops accepting tasks and ends the threads once the queued tasks have run. */
  @Override
  void close();
}
