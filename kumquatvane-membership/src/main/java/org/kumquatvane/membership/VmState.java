package org.kumquatvane.membership;

/** State of a VM in the platform's VM list. */
public enum VmState {
  /** The VM accepts new work. */
  LIVE,
  /** The VM completes its current work and then stops. */
  LEAVING
}
