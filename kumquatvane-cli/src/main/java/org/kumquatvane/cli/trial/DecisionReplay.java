package org.kumquatvane.cli.trial;

import java.util.HashSet;
import java.util.Set;
import org.kumquatvane.core.Reason;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.Route;
import org.kumquatvane.routing.DocumentRouteTable;
import org.kumquatvane.routing.RouteMatch;

/** Computes the decisions of one document with the same route table that live requests use. */
final class DecisionReplay {
  private final DocumentRouteTable routes = new DocumentRouteTable();
  private final Set<WorkspaceId> workspacesWithKeys = new HashSet<>();

  DecisionReplay(Document document) {
    routes.documentInForce(document);
    document.workspaces().stream()
        .filter(workspace -> !workspace.keyDigests().isEmpty())
        .forEach(workspace -> workspacesWithKeys.add(workspace.id()));
  }

  Decision decide(SampleRequest request) {
    if (!workspacesWithKeys.contains(request.workspace())) {
      return new Decision.Refused(Reason.KEY_NOT_ACCEPTED);
    }
    RouteMatch match = routes.match("", request.method(), request.path());
    if (match instanceof RouteMatch.PathNotFound) {
      return new Decision.Refused(Reason.ROUTE_NOT_FOUND);
    }
    if (!(match instanceof RouteMatch.Found found)) {
      return new Decision.Refused(Reason.METHOD_NOT_ALLOWED);
    }
    Route route = found.route();
    return route.open() || route.workspaces().contains(request.workspace())
        ? new Decision.Routed(route)
        : new Decision.Refused(Reason.ROUTE_FORBIDDEN);
  }
}
