package org.kumquatvane.membership;

/**
 * Reachability of a VM, judged from the links of this VM and the reports of its reachable peers.
 */
public enum PeerCondition {
  /** Every reporting VM receives its heartbeats and it receives theirs. */
  REACHABLE,
  /** Some links from or to this VM are down. */
  PARTLY_REACHABLE,
  /** No VM receives its heartbeats: it has stopped, is paused or is partitioned from all others. */
  SILENT,
  /** Reachable, and the platform lists it as leaving. */
  LEAVING,
  /** It announced a planned stop. */
  DEPARTED
}
