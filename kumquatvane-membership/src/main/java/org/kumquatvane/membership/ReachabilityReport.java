package org.kumquatvane.membership;

import java.util.Set;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.VmId;

/**
 * Reports the listed VMs from which the sender receives no heartbeats.
 *
 * @param sequence increases with each report of a sender; older reports are ignored
 * @param unreachable the VMs from which the sender receives no heartbeats
 */
public record ReachabilityReport(long sequence, Set<VmId> unreachable) implements PeerMessage {
  /** Copies the set. */
  public ReachabilityReport {
    unreachable = Set.copyOf(unreachable);
  }
}
