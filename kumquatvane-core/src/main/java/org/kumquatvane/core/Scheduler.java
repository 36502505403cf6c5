package org.kumquatvane.core;

/** Schedules tasks at deadlines. */
public interface Scheduler {
  /**
   * Runs a task on the worker pool once the deadline is reached.
   *
   * @param deadline when to run the task
   * @param task the task; runs on the worker pool
   * @return a handle that cancels the task
   */
  Scheduled schedule(Deadline deadline, Runnable task);

  /** Handle of a scheduled task. */
  interface Scheduled {
    /** Cancels the task if it has not started. */
    void cancel();
  }
}
