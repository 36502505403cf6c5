package org.kumquatvane.engine.internal;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.engine.EngineDependencies;

/** Timeout and periodic rechecks of one queued request. */
final class QueueWait {
  /** A fraction of the shortest processing time of an instance. */
  private static final Duration RECHECK_INTERVAL = Duration.ofMillis(60);

  private final EngineDependencies dependencies;
  private volatile @Nullable Runnable recheck;
  private volatile Scheduler.@Nullable Scheduled timeoutTask;

  QueueWait(EngineDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /**
   * Starts the timers.
   *
   * @param timeout time after which waiting is no longer useful
   * @param onTimeout called at the timeout unless the wait has ended
   * @param onRecheck looks for a slot again, since the health estimates of instances change with
   *     time alone
   */
  void begin(Deadline timeout, Runnable onTimeout, Runnable onRecheck) {
    recheck = onRecheck;
    timeoutTask =
        dependencies
            .scheduler()
            .schedule(
                timeout,
                () -> {
                  if (recheck != null) {
                    onTimeout.run();
                  }
                });
    if (recheck == null) {
      cancelTimeout();
    }
    scheduleRecheck();
  }

  private void scheduleRecheck() {
    dependencies
        .scheduler()
        .schedule(Deadline.after(dependencies.clock(), RECHECK_INTERVAL), this::runRecheck);
  }

  private void runRecheck() {
    Runnable due = recheck;
    if (due != null) {
      due.run();
      scheduleRecheck();
    }
  }

  /** Ends the wait. */
  void end() {
    recheck = null;
    cancelTimeout();
  }

  /** A timer that is left would keep the request and its body in memory until its deadline. */
  private void cancelTimeout() {
    Scheduler.Scheduled task = timeoutTask;
    if (task != null) {
      timeoutTask = null;
      task.cancel();
    }
  }
}
