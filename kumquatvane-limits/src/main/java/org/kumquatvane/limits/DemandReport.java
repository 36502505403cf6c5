package org.kumquatvane.limits;

import java.util.List;
import java.util.Optional;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.RateLimit;

/**
 * Requests per workspace that a VM has counted since its previous report, with the limits that it
 * knows. The coordinator may know an older document, or none.
 *
 * @param generation generation of the sender's document; negative if it is not known
 * @param possibleVms number of VMs that may be running, as far as the sender knows
 * @param demands workspaces with requests
 */
public record DemandReport(long generation, int possibleVms, List<Demand> demands)
    implements PeerMessage {
  /** Generation of a report that does not name one. */
  public static final long NO_GENERATION = -1;

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
   * @param limit limit of the workspace in the sender's document; empty if it is not known, which
   *     does not mean that there is none
   */
  public record Demand(
      WorkspaceId workspace, long arrived, long admitted, Optional<RateLimit> limit) {}
}
