package org.kumquatvane.membership;

import org.kumquatvane.core.VmId;

/** Learns of changes of the agreed view; called on the worker pool, outside all locks. */
public interface MembershipListener {
  /**
   * A view with another set of members has come into force on this VM.
   *
   * @param view the new view
   */
  default void viewAgreed(AgreedView view) {}

  /** The view has expired and none is in force. */
  default void viewLost() {}

  /**
   * A VM announced that it stops and has given up all shares.
   *
   * @param vm the VM
   */
  default void vmDeparted(VmId vm) {}

  /**
   * A heartbeat of a listed VM has arrived.
   *
   * @param vm the VM
   * @param configuration what it has in force
   */
  default void heartbeatReceived(VmId vm, ConfigurationVersions configuration) {}

  /** This process was paused and has resumed; every right with a deadline must be checked. */
  default void resumedAfterPause() {}
}
