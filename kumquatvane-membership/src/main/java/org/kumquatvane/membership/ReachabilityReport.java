package org.kumquatvane.membership;

import java.util.Set;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.VmId;

/**
 * Tells which listed VMs the sender receives no heartbeats from.
 *
 * @param sequence rises with each report of one sender; an older report is ignored
 * @param unreachable the VMs that the sender does not hear
 */
public record ReachabilityReport(long sequence, Set<VmId> unreachable) implements PeerMessage {
  /** Copies the set. */
  public ReachabilityReport {
    unreachable = Set.copyOf(unreachable);
  }
}
