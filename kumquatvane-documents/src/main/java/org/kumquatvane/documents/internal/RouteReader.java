package org.kumquatvane.documents.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.kumquatvane.core.RouteId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.IdempotencyKeyRule;
import org.kumquatvane.document.Route;
import org.kumquatvane.json.Located;
import org.kumquatvane.json.ObjectReader;
import org.kumquatvane.json.StringFormat;

/** Reads routes. docs/configuration.md explains each default. */
final class RouteReader {
  private static final StringFormat METHOD =
      StringFormat.of(
          "GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS",
          "that is one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS");

  /**
   * Segments hold unreserved characters and sub-delimiters of RFC 3986 and {@code :}, {@code @}.
   */
  private static final StringFormat PATH =
      StringFormat.of(
          "/[A-Za-z0-9._~!$&'()*+,;=:@/-]{0,1023}",
          "that is an absolute path without query, percent signs or spaces");

  /** Safe methods of RFC 9110, which request no change of state. */
  private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

  private static final long DEFAULT_MAXIMUM_BODY_BYTES = 65_536;
  private static final long MAXIMUM_BODY_BYTES = 1L << 40;
  private static final long MAXIMUM_TIMEOUT_MILLIS = 3_600_000;
  private static final String METHODS = "methods";
  private static final String WORKSPACES = "workspaces";

  private RouteReader() {}

  static Route read(ObjectReader reader, Consumer<Located<WorkspaceId>> references) {
    RouteId id = new RouteId(reader.readString("name", StringFormat.NAME));
    ServiceName service = new ServiceName(reader.readString("service", StringFormat.NAME));
    Set<String> methods = readMethods(reader);
    String path = readPath(reader);
    boolean safe = !methods.isEmpty() && SAFE_METHODS.containsAll(methods);
    boolean idempotent = reader.readBoolean("idempotent", safe);
    if (!idempotent && methods.stream().anyMatch(SAFE_METHODS::contains)) {
      reader.reportFault(
          "idempotent",
          "GET, HEAD and OPTIONS change nothing, so they are idempotent",
          "set it to true, or move these methods to a route of their own");
    }
    IdempotencyKeyRule rule =
        reader.readEnum(
            "idempotencyKey",
            idempotent ? IdempotencyKeyRule.IGNORED : IdempotencyKeyRule.REQUIRED);
    if (idempotent && rule != IdempotencyKeyRule.IGNORED) {
      reader.reportFault(
          "idempotencyKey",
          "operations are recorded on routes that are not idempotent only",
          "set it to ignored, or idempotent to false");
    }
    boolean open = reader.readBoolean("open", false);
    List<WorkspaceId> workspaces = readWorkspaces(reader, open, references);
    return new Route(
        id,
        service,
        methods,
        path,
        idempotent,
        rule,
        open,
        workspaces,
        Duration.ofMillis(reader.readLong("timeoutMillis", 1, MAXIMUM_TIMEOUT_MILLIS)),
        reader.readLong("maximumBodyBytes", 0, MAXIMUM_BODY_BYTES, DEFAULT_MAXIMUM_BODY_BYTES));
  }

  private static Set<String> readMethods(ObjectReader reader) {
    Set<String> methods = new LinkedHashSet<>();
    List<Located<String>> listedMethods = reader.readStrings(METHODS, METHOD);
    listedMethods.forEach(method -> methods.add(method.value()));
    if (methods.size() < listedMethods.size()) {
      reader.reportFault(METHODS, "a method is named twice", "name each method once");
    }
    if (!reader.has(METHODS)) {
      reader.reportFault(METHODS, "the field is missing", "add it with at least one method");
    } else if (listedMethods.isEmpty()) {
      reader.reportFault(METHODS, "there is no valid method", "name at least one method");
    }
    return methods;
  }

  private static String readPath(ObjectReader reader) {
    String path = reader.readString("path", PATH);
    if (path.isEmpty()) {
      return path;
    }
    String[] segments = path.substring(1).split("/", -1);
    for (int i = 0; i < segments.length; i++) {
      boolean last = i == segments.length - 1;
      String segment = segments[i];
      if (segment.equals("**") ? !last : segment.contains("*") && !segment.equals("*")) {
        reader.reportFault(
            "path",
            "an asterisk stands in the wrong place",
            "use * for one whole segment and ** as the last segment only");
        return path;
      }
      if (segment.equals(".") || segment.equals("..") || (segment.isEmpty() && !last)) {
        reader.reportFault(
            "path",
            "it has an empty segment, . or .., which requests never match",
            "write the path in its normal form");
        return path;
      }
    }
    return path;
  }

  private static List<WorkspaceId> readWorkspaces(
      ObjectReader reader, boolean open, Consumer<Located<WorkspaceId>> references) {
    List<WorkspaceId> workspaces = new ArrayList<>();
    for (Located<String> text : reader.readStrings(WORKSPACES, StringFormat.NAME)) {
      WorkspaceId id = new WorkspaceId(text.value());
      workspaces.add(id);
      references.accept(new Located<>(id, text.location()));
    }
    if (open && !workspaces.isEmpty()) {
      reader.reportFault(
          WORKSPACES, "an open route admits every workspace", "remove it or set open to false");
    }
    if (!open && workspaces.isEmpty()) {
      reader.reportFault(
          WORKSPACES, "no workspace may use the route", "name workspaces or set open to true");
    }
    return workspaces;
  }
}
