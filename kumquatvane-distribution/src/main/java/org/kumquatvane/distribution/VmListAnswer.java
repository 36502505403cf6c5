package org.kumquatvane.distribution;

import org.kumquatvane.membership.VmList;

/** The platform's answer to a call for the VM list. */
public sealed interface VmListAnswer {
  /**
   * The list.
   *
   * @param list the list
   */
  record Current(VmList list) implements VmListAnswer {}

  /** The version did not change during the wait. */
  record Unchanged() implements VmListAnswer {}

  /**
   * No valid answer.
   *
   * @param detail what went wrong
   */
  record Unavailable(String detail) implements VmListAnswer {}
}
