package org.kumquatvane.cli.serve;

import org.jspecify.annotations.Nullable;

/**
 * Requests to reload the settings. A request that arrives during startup is kept until the process
 * can handle it, since a signal without a handler would terminate the process.
 */
public final class ReloadRequests {
  private @Nullable Runnable action;
  private boolean isPending;
  private volatile boolean isSignalIgnored;

  /**
   * Requests a reload for each SIGHUP. Called first in the process, since SIGHUP terminates a
   * process that has no handler for it.
   */
  public void handleSignal() {
    isSignalIgnored = !Signals.handle("HUP", this::request);
  }

  /**
   * Returns whether SIGHUP has no effect, because the process was started with it ignored.
   *
   * @return whether only changes of the settings file cause reloads
   */
  public boolean isSignalIgnored() {
    return isSignalIgnored;
  }

  /** Requests a reload. */
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
   * Sets the action of a reload and runs it immediately if a request is pending.
   *
   * @param reload reloads the settings
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
