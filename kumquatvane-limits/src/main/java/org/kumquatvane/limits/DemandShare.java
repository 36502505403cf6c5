package org.kumquatvane.limits;

import java.util.List;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.WorkspaceId;

/**
 * Which part of its requests each VM may admit, as the coordinator has worked it out from the
 * reports of all VMs.
 *
 * @param shares the workspaces that the receiver reported
 */
public record DemandShare(List<Share> shares) implements PeerMessage {
  /** Copies the list. */
  public DemandShare {
    shares = List.copyOf(shares);
  }

  /**
   * Part of one workspace.
   *
   * @param workspace the workspace
   * @param fraction part of the arriving requests that may be admitted, 0 to 1
   * @param fleetRate requests a second of the workspace that arrive at the whole fleet
   */
  public record Share(WorkspaceId workspace, double fraction, double fleetRate) {}
}
