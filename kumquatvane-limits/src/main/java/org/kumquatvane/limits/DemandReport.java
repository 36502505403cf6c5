package org.kumquatvane.limits;

import java.util.List;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.WorkspaceId;

/**
 * Requests that a VM has counted for each workspace since its last report.
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
   * @param arrived requests that asked for a token
   * @param admitted requests that got one
   */
  public record Demand(WorkspaceId workspace, long arrived, long admitted) {}
}
