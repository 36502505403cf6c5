package org.kumquatvane.membership;

/** State of a VM in the platform's list. */
public enum VmState {
  /** The VM takes work. */
  LIVE,
  /** The VM finishes its work and will stop. */
  LEAVING
}
