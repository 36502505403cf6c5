package org.kumquatvane.cli.serve;

import org.jspecify.annotations.Nullable;

/**
 * Requests to read the settings again. One that comes while the process still starts is kept until
 * the process can follow it: without a handler the signal would end the process.
 */
public final class ReloadRequests {
  private @Nullable Runnable action;
  private boolean isPending;

  /** Asks for a reload. */
  public void request() {
    Runnable reload;
    synchronized (this) {
      reload = action;
      isPending = reload == null;
    }
    if (reload != null) {
      reload.run();
    }
  }

  /**
   * Sets what a reload is, and does it at once if one was asked for before.
   *
   * @param reload reads the settings again
   */
  public void onRequest(Runnable reload) {
    boolean isDue;
    synchronized (this) {
      action = reload;
      isDue = isPending;
      isPending = false;
    }
    if (isDue) {
      reload.run();
    }
  }
}
