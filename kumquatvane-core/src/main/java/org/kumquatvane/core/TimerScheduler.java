package org.kumquatvane.core;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Scheduler with one timer thread that submits due tasks to the worker pool. */
public final class TimerScheduler implements Scheduler, AutoCloseable {
  private final ScheduledThreadPoolExecutor timer;
  private final Clock clock;
  private final WorkerPool workers;

  /**
   * Starts the timer thread.
   *
   * @param clock clock of the deadlines
   * @param workers pool that runs due tasks
   */
  public TimerScheduler(Clock clock, WorkerPool workers) {
    this.clock = clock;
    this.workers = workers;
    timer =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "timer");
              thread.setDaemon(true);
              return thread;
            });
    timer.setRemoveOnCancelPolicy(true);
  }

  @Override
  public Scheduled schedule(Deadline deadline, Runnable task) {
    long delayNanos = Math.max(0, deadline.remainingNanos(clock));
    ScheduledFuture<?> future =
        timer.schedule(() -> workers.resume(task), delayNanos, TimeUnit.NANOSECONDS);
    return () -> future.cancel(false);
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }
}
