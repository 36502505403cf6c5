package org.kumquatvane.core;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Worker pool with a fixed number of threads and one shared queue. The number of queued new tasks
 * is bounded.
 */
public final class FixedWorkerPool implements WorkerPool {
  private final ThreadPoolExecutor executor;
  private final AtomicInteger waitingOffers = new AtomicInteger();
  private final int offerCapacity;
  private final EventLog eventLog;

  /**
   * Starts the threads.
   *
   * @param name prefix of the thread names
   * @param threadCount number of threads, at least one
   * @param offerCapacity maximum number of offered tasks in the queue, at least one
   * @param eventLog logs tasks that end with an exception, which indicates a defect
   */
  public FixedWorkerPool(String name, int threadCount, int offerCapacity, EventLog eventLog) {
    this.offerCapacity = offerCapacity;
    this.eventLog = eventLog;
    AtomicInteger sequence = new AtomicInteger();
    executor =
        new ThreadPoolExecutor(
            threadCount,
            threadCount,
            0,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(),
            task -> {
              Thread thread = new Thread(task, name + "-" + sequence.incrementAndGet());
              thread.setDaemon(true);
              return thread;
            });
    executor.prestartAllCoreThreads();
  }

  @Override
  public boolean offer(Runnable task) {
    if (waitingOffers.incrementAndGet() > offerCapacity) {
      waitingOffers.decrementAndGet();
      return false;
    }
    try {
      executor.execute(
          () -> {
            waitingOffers.decrementAndGet();
            runSafely(task);
          });
      return true;
    } catch (RejectedExecutionException closed) {
      waitingOffers.decrementAndGet();
      return false;
    }
  }

  @Override
  public void resume(Runnable task) {
    try {
      executor.execute(() -> runSafely(task));
    } catch (RejectedExecutionException closed) {
      eventLog.record(EventLog.Level.DEBUG, "worker_pool_closed");
    }
  }

  private void runSafely(Runnable task) {
    try {
      task.run();
    } catch (Throwable defect) { // Libraries may throw undeclared checked exceptions.
      eventLog.record(
          EventLog.Level.WARNING,
          "worker_task_failed",
          LogField.of("error", defect),
          LogField.of("at", defect.getStackTrace().length > 0 ? defect.getStackTrace()[0] : ""));
    }
  }

  @Override
  public int queued() {
    return executor.getQueue().size();
  }

  @Override
  public void close() {
    executor.shutdown();
  }
}
