package org.kumquatvane.engine.internal;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.engine.EngineDependencies;

/** The time that one request spends in the queue of its service. */
final class QueueWait {
  /** A fraction of the shortest work of an instance. */
  private static final Duration RECHECK_INTERVAL = Duration.ofMillis(60);

  private final EngineDependencies dependencies;
  private volatile @Nullable Runnable recheck;

  QueueWait(EngineDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /**
   * Begins to wait.
   *
   * @param timeout when waiting has no use any more
   * @param onTimeout called then, unless the wait has ended
   * @param onRecheck looks for a slot again, since evidence on instances changes with time alone
   */
  void begin(Deadline timeout, Runnable onTimeout, Runnable onRecheck) {
    recheck = onRecheck;
    dependencies
        .scheduler()
        .schedule(
            timeout,
            () -> {
              if (recheck != null) {
                onTimeout.run();
              }
            });
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
  }
}
