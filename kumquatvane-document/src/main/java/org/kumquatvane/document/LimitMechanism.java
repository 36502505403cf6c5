package org.kumquatvane.document;

/** Mechanism that enforces a workspace's rate and burst across all VMs. */
public enum LimitMechanism {
  /** Every VM owns a fixed share. */
  STATIC_DIVISION,
  /** VMs lease shares and tokens to each other. */
  LEASED_SHARES
}
