package org.kumquatvane.distribution;

import org.kumquatvane.membership.VmList;

/** Response of the platform to a request for the VM list. */
public sealed interface VmListResponse {
  /**
   * The list.
   *
   * @param list the list
   */
  record Current(VmList list) implements VmListResponse {}

  /** The VM list did not change during the wait. */
  record Unchanged() implements VmListResponse {}

  /**
   * The request failed or the response was not valid.
   *
   * @param detail description of the failure
   */
  record Unavailable(String detail) implements VmListResponse {}
}
