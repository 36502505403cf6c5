package org.kumquatvane.membership;

import org.kumquatvane.core.VmId;

/** Listener for membership changes; called on the worker pool, outside all locks. */
public interface MembershipListener {
  /**
   * Called when a view with a different set of members comes into force on this VM.
   *
   * @param view the new view
   */
  default void viewAgreed(AgreedView view) {}

  /** Called when the view has expired and no other view is in force. */
  default void viewLost() {}

  /**
   * Called when a VM has announced its planned stop and released all its shares.
   *
   * @param vm the VM
   */
  default void vmDeparted(VmId vm) {}

  /**
   * Called when a heartbeat of a listed VM arrives.
   *
   * @param vm the VM
   * @param configuration versions of the configuration that it has in force
   */
  default void heartbeatReceived(VmId vm, ConfigurationVersions configuration) {}

  /**
   * Called when this process resumes after a pause. Every lease and promise may have expired
   * meanwhile and must be checked.
   */
  default void resumedAfterPause() {}
}
