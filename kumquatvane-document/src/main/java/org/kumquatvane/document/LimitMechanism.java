package org.kumquatvane.document;

/** Ways to hold a workspace's rate and burst across all VMs. */
public enum LimitMechanism {
  /** Every VM owns a fixed fraction. */
  STATIC_DIVISION,
  /** VMs lend each other fractions and tokens. */
  LEASED_SHARES
}
