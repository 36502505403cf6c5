package org.kumquatvane.limits;

import java.util.List;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.WorkspaceId;

/**
 * Fractions of its requests that a VM may admit, computed by the coordinator from the reports of
 * all VMs.
 *
 * @param shares the workspaces that the receiver reported
 */
public record DemandShare(List<Share> shares) implements PeerMessage {
  /** Copies the list. */
  public DemandShare {
    shares = List.copyOf(shares);
  }

  /**
   * Fraction for one workspace.
   *
   * @param workspace the workspace
   * @param fraction fraction of arriving requests that may be admitted, 0 to 1
   * @param fleetRate requests of the workspace per second across the fleet
   * @param generation generation of the document that the limit was taken from; {@link
   *     DemandReport#NO_GENERATION} if it is not known
   */
  public record Share(WorkspaceId workspace, double fraction, double fleetRate, long generation) {}
}
