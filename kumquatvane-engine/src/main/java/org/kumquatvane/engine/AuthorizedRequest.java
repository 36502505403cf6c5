package org.kumquatvane.engine;

import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Route;
import org.kumquatvane.document.Service;

/**
 * A request whose key, route and permission have been checked.
 *
 * @param head the request
 * @param workspace the workspace of the key, or {@link #ANONYMOUS}
 * @param route the route
 * @param service the service of the route
 * @param priority priority among the requests of the service; 0 is the most urgent
 * @param deadline time at which the caller stops waiting
 */
public record AuthorizedRequest(
    CallerRequest head,
    WorkspaceId workspace,
    Route route,
    Service service,
    int priority,
    Deadline deadline) {
  /** Workspace of a request on a keyless route without an accepted key. */
  public static final WorkspaceId ANONYMOUS = new WorkspaceId("");

  /**
   * Tells whether the request belongs to a workspace.
   *
   * @return false for a keyless route without an accepted key
   */
  public boolean hasWorkspace() {
    return !workspace.equals(ANONYMOUS);
  }
}
