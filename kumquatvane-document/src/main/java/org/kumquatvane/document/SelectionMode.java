package org.kumquatvane.document;

/** Ways to choose an instance. */
public enum SelectionMode {
  /** Instances in turn. */
  ROUND_ROBIN,
  /** The less loaded of two random instances, by own requests in flight and observed latency. */
  TWO_CHOICES
}
