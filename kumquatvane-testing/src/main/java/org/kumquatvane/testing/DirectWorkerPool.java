package org.kumquatvane.testing;

import org.kumquatvane.core.WorkerPool;

/**
 * Worker pool that runs each task at once on the calling thread, or refuses new work on request.
 */
public final class DirectWorkerPool implements WorkerPool {
  private boolean full;

  /**
   * Makes {@link #offer} refuse or accept.
   *
   * @param full whether the pool behaves as if its queue were full
   */
  public void setFull(boolean full) {
    this.full = full;
  }

  @Override
  public boolean offer(Runnable task) {
    if (full) {
      return false;
    }
    task.run();
    return true;
  }

  @Override
  public void resume(Runnable task) {
    task.run();
  }

  @Override
  public int queued() {
    return 0;
  }

  @Override
  public void close() {}
}
