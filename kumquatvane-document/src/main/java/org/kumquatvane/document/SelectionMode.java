package org.kumquatvane.document;

/** Load-balancing policy of a service. */
public enum SelectionMode {
  /** Selects instances in turn. */
  ROUND_ROBIN,
  /** Selects the less loaded of two random instances by own requests in flight and latency. */
  TWO_CHOICES
}
