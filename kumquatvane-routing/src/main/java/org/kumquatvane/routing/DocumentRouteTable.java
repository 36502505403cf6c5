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
 * Route table of the document in force, stored as tries of path segments.
 *
 * <p>There is one trie for each host and one for routes that match every host. Tries are not
 * modified once published and are replaced as a whole, so look-ups need no lock. At each segment, a
 * look-up tries the literal child first, then {@code *}; the nearest enclosing {@code **} is the
 * fallback.
 */
public final class DocumentRouteTable implements RouteTable, DocumentListener {
  private static final String SINGLE_SEGMENT = "*";
  private static final String REMAINING_SEGMENTS = "**";

  private static final String ANY_HOST = "";

  private volatile Map<String, Node> roots = Map.of();

  @Override
  public void documentInForce(Document document) {
    Map<String, Node> built = new HashMap<>();
    for (Route route : document.routes()) {
      insert(built.computeIfAbsent(route.traffic().host(), unused -> new Node()), route);
    }
    roots = built;
  }

  @Override
  public RouteMatch match(String host, String method, String path) {
    Map<String, Node> current = roots;
    Search search = new Search(method);
    String[] segments = segments(path);
    Optional<Route> route =
        search
            .findInChild(current.get(host), segments, -1)
            .or(() -> search.findInChild(current.get(ANY_HOST), segments, -1));
    if (route.isPresent()) {
      return new RouteMatch.Found(route.get());
    }
    return search.pathMatched ? new RouteMatch.MethodNotAllowed() : new RouteMatch.PathNotFound();
  }

  private static String[] segments(String path) {
    String relative = path.startsWith("/") ? path.substring(1) : path;
    return relative.split("/", -1);
  }

  private static void insert(Node root, Route route) {
    Node node = root;
    for (String segment : segments(route.path())) {
      if (segment.equals(REMAINING_SEGMENTS)) {
        node.remainderRoutes.add(route);
        return;
      }
      node = node.children.computeIfAbsent(segment, unused -> new Node());
    }
    node.routes.add(route);
  }

  private static final class Node {
    private final Map<String, Node> children = new HashMap<>();
    private final List<Route> routes = new ArrayList<>();
    private final List<Route> remainderRoutes = new ArrayList<>();
  }

  private static final class Search {
    private final String method;
    private boolean pathMatched;

    private Search(String method) {
      this.method = method;
    }

    private Optional<Route> find(Node node, String[] segments, int depth) {
      if (depth == segments.length) {
        return firstAllowing(node.routes).or(() -> firstAllowing(node.remainderRoutes));
      }
      return findInChild(node.children.get(segments[depth]), segments, depth)
          .or(() -> findInChild(node.children.get(SINGLE_SEGMENT), segments, depth))
          .or(() -> firstAllowing(node.remainderRoutes));
    }

    private Optional<Route> findInChild(@Nullable Node child, String[] segments, int depth) {
      return child == null ? Optional.empty() : find(child, segments, depth + 1);
    }

    private Optional<Route> firstAllowing(List<Route> routes) {
      pathMatched |= !routes.isEmpty();
      return routes.stream().filter(route -> route.allows(method)).findFirst();
    }
  }
}
