package org.kumquatvane.membership;

/** What the evidence of this VM and of the peers it hears says about another VM. */
public enum PeerCondition {
  /** Every reporting VM hears it and it hears every one of them. */
  REACHABLE,
  /** Some VMs hear it and others do not, or it does not hear some of them. */
  PARTLY_REACHABLE,
  /** No VM hears it: it has stopped, is paused, or is cut off from all. */
  SILENT,
  /** Reachable, and the platform lists it as leaving. */
  LEAVING,
  /** It announced a planned stop. */
  DEPARTED
}
