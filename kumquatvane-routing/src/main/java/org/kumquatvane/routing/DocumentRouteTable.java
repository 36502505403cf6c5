package org.kumquatvane.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.DocumentListener;
import org.kumquatvane.document.Route;

/**
 * Route table of the document in force, a tree over path segments.
 *
 * <p>There is a tree for each host and one for routes of every host. The tree is immutable once
 * built and replaced as a whole, so look-ups need no lock. A look-up visits at most two branches a
 * segment: the literal one first, then {@code *}; the nearest {@code **} above is the fallback.
 */
public final class DocumentRouteTable implements RouteTable, DocumentListener {
  private static final String ONE_SEGMENT = "*";
  private static final String ANY_REST = "**";

  private static final String ANY_HOST = "";

  private volatile Map<String, Branch> roots = Map.of();

  @Override
  public void documentInForce(Document document) {
    Map<String, Branch> built = new HashMap<>();
    for (Route route : document.routes()) {
      insert(built.computeIfAbsent(route.traffic().host(), unused -> new Branch()), route);
    }
    roots = built;
  }

  @Override
  public RouteMatch match(String host, String method, String path) {
    Map<String, Branch> current = roots;
    Search search = new Search(method);
    String[] segments = segments(path);
    Optional<Route> route =
        search
            .findBelow(current.get(host), segments, -1)
            .or(() -> search.findBelow(current.get(ANY_HOST), segments, -1));
    if (route.isPresent()) {
      return new RouteMatch.Found(route.get());
    }
    return search.pathKnown ? new RouteMatch.MethodNotAllowed() : new RouteMatch.PathUnknown();
  }

  private static String[] segments(String path) {
    String relative = path.startsWith("/") ? path.substring(1) : path;
    return relative.split("/", -1);
  }

  private static void insert(Branch root, Route route) {
    Branch branch = root;
    for (String segment : segments(route.path())) {
      if (segment.equals(ANY_REST)) {
        branch.restRoutes.add(route);
        return;
      }
      branch = branch.children.computeIfAbsent(segment, unused -> new Branch());
    }
    branch.routes.add(route);
  }

  private static final class Branch {
    private final Map<String, Branch> children = new HashMap<>();
    private final List<Route> routes = new ArrayList<>();
    private final List<Route> restRoutes = new ArrayList<>();
  }

  private static final class Search {
    private final String method;
    private boolean pathKnown;

    private Search(String method) {
      this.method = method;
    }

    private Optional<Route> find(Branch branch, String[] segments, int depth) {
      if (depth == segments.length) {
        return withMethod(branch.routes).or(() -> withMethod(branch.restRoutes));
      }
      return findBelow(branch.children.get(segments[depth]), segments, depth)
          .or(() -> findBelow(branch.children.get(ONE_SEGMENT), segments, depth))
          .or(() -> withMethod(branch.restRoutes));
    }

    private Optional<Route> findBelow(@Nullable Branch child, String[] segments, int depth) {
      return child == null ? Optional.empty() : find(child, segments, depth + 1);
    }

    private Optional<Route> withMethod(List<Route> routes) {
      pathKnown |= !routes.isEmpty();
      return routes.stream().filter(route -> route.allows(method)).findFirst();
    }
  }
}
