package org.kumquatvane.membership;

/** Listener for newer versions of the VM list. */
@FunctionalInterface
public interface VmListListener {
  /**
   * Called with each newer VM list, outside all locks.
   *
   * @param list the newest list
   */
  void vmListChanged(VmList list);
}
