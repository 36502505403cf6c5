package org.kumquatvane.engine;

import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Route;
import org.kumquatvane.document.Service;

/**
 * A request whose key, route and permission have been checked.
 *
 * @param head the request
 * @param workspace the workspace of the key
 * @param route the route
 * @param service the service of the route
 * @param deadline when the caller stops waiting
 */
public record AuthorizedRequest(
    CallerRequest head, WorkspaceId workspace, Route route, Service service, Deadline deadline) {}
