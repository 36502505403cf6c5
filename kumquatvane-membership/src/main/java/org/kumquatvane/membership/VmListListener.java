package org.kumquatvane.membership;

/** Learns of each newer VM list. */
@FunctionalInterface
public interface VmListListener {
  /**
   * Applies a VM list; called outside all locks.
   *
   * @param list the newest list
   */
  void vmListChanged(VmList list);
}
