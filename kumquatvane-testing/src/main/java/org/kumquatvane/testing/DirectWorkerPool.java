package org.kumquatvane.testing;

import org.kumquatvane.core.WorkerPool;

/**
 * Worker pool that runs each task immediately on the calling thread and can be set to reject new
 * work.
 */
public final class DirectWorkerPool implements WorkerPool {
  private boolean full;

  /**
   * Sets whether {@link #offer} rejects tasks.
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
