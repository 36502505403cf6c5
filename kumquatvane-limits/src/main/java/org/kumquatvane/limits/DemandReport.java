package org.kumquatvane.limits;

import java.util.List;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.WorkspaceId;

/**
 * Requests per workspace that a VM has counted since its previous report.
 *
 * @param demands workspaces with requests
 */
public record DemandReport(List<Demand> demands) implements PeerMessage {
  /** Copies the list. */
  public DemandReport {
    demands = List.copyOf(demands);
  }

  /**
   * Requests of one workspace.
   *
   * @param workspace the workspace
   * @param arrived requests that arrived
   * @param admitted requests that were admitted
   */
  public record Demand(WorkspaceId workspace, long arrived, long admitted) {}
}
