package org.kumquatvane.membership;

import java.util.Set;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.VmId;

/**
 * Tells which listed VMs the sender receives no heartbeats from.
 *
 * @param sequence rises with each report of one sender; an older report is ignored
 * @param silent the VMs that the sender does not hear
 */
public record ReachabilityReport(long sequence, Set<VmId> silent) implements PeerMessage {
  /** Copies the set. */
  public ReachabilityReport {
    silent = Set.copyOf(silent);
  }
}
