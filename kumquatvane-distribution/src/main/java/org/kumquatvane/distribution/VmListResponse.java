package org.kumquatvane.distribution;

import org.kumquatvane.membership.VmList;

/** The platform's answer to a call for the VM list. */
public sealed interface VmListResponse {
  /**
   * The list.
   *
   * @param list the list
   */
  record Current(VmList list) implements VmListResponse {}

  /** The version did not change during the wait. */
  record Unchanged() implements VmListResponse {}

  /**
   * No valid answer.
   *
   * @param detail what went wrong
   */
  record Unavailable(String detail) implements VmListResponse {}
}
