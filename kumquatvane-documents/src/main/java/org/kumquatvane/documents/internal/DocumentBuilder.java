package org.kumquatvane.documents.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.FleetPolicy;
import org.kumquatvane.document.RetryMode;
import org.kumquatvane.document.Route;
import org.kumquatvane.document.Service;
import org.kumquatvane.document.Workspace;
import org.kumquatvane.json.FaultCollector;
import org.kumquatvane.json.Located;
import org.kumquatvane.json.ObjectReader;
import org.kumquatvane.json.SourceLocation;

/** Collects the parts of one document and checks names, keys and references across parts. */
public final class DocumentBuilder {
  private final FaultCollector faults;
  private final List<Workspace> workspaces = new ArrayList<>();
  private final List<Service> services = new ArrayList<>();
  private final List<Located<Route>> routes = new ArrayList<>();
  private final List<Located<WorkspaceId>> workspaceReferences = new ArrayList<>();

  /** Routes that were read without faults; other routes may contain placeholder values. */
  private final Set<Route> faultFreeRoutes = Collections.newSetFromMap(new IdentityHashMap<>());

  private final Map<String, SourceLocation> workspaceNames = new HashMap<>();
  private final Map<String, SourceLocation> serviceNames = new HashMap<>();
  private final Map<String, SourceLocation> routeNames = new HashMap<>();
  private final Map<KeyDigest, SourceLocation> keys = new HashMap<>();
  private final Map<String, SourceLocation> patterns = new HashMap<>();

  /**
   * Creates an empty builder.
   *
   * @param faults receives the faults
   */
  public DocumentBuilder(FaultCollector faults) {
    this.faults = faults;
  }

  /**
   * Reads the workspaces, services and routes of the main bytes or of a fragment.
   *
   * @param reader reader of the root
   */
  public void readParts(ObjectReader reader) {
    workspaces.addAll(reader.readObjects("workspaces", this::readWorkspace));
    services.addAll(reader.readObjects("services", this::readService));
    routes.addAll(reader.readObjects("routes", this::readRoute));
  }

  private Workspace readWorkspace(ObjectReader reader) {
    Workspace workspace = WorkspaceReader.read(reader, this::addKey);
    addName(workspaceNames, workspace.id().value(), "workspace", reader.location("name"));
    return workspace;
  }

  private void addKey(Located<KeyDigest> key) {
    SourceLocation first = keys.putIfAbsent(key.value(), key.location());
    if (first != null) {
      faults.add(
          key.location(),
          "the key digest is granted already at " + first,
          "grant each key once; make another key for the other workspace");
    }
  }

  private Service readService(ObjectReader reader) {
    Service service = ServiceReader.read(reader);
    addName(serviceNames, service.name().value(), "service", reader.location("name"));
    return service;
  }

  private Located<Route> readRoute(ObjectReader reader) {
    long faultsBefore = faults.count();
    Route route = RouteReader.read(reader, workspaceReferences::add);
    if (faults.count() == faultsBefore) {
      faultFreeRoutes.add(route);
    }
    addName(routeNames, route.id().value(), "route", reader.location("name"));
    for (String method : route.methods().stream().sorted().toList()) {
      SourceLocation first = patterns.putIfAbsent(method + " " + route.path(), reader.location());
      if (first != null && !route.path().isEmpty()) {
        faults.add(
            reader.location("path"),
            "the route at " + first + " has the same path and method " + method,
            "keep one of the two or change path or methods");
      }
    }
    return new Located<>(route, reader.location());
  }

  private void addName(
      Map<String, SourceLocation> names, String name, String kind, SourceLocation location) {
    // An empty name has been reported already.
    SourceLocation first = name.isEmpty() ? null : names.putIfAbsent(name, location);
    if (first != null) {
      faults.add(
          location,
          "the name of the " + kind + " is used already at " + first,
          "give each " + kind + " its own name");
    }
  }

  /** Checks references between parts. Must be called after all parts are read. */
  public void checkReferences() {
    for (Located<WorkspaceId> reference : workspaceReferences) {
      if (!workspaceNames.containsKey(reference.value().value())) {
        faults.add(
            reference.location(),
            "there is no workspace \"" + reference.value() + "\"",
            "add it to workspaces or remove it here");
      }
    }
    Map<ServiceName, Service> byName = new HashMap<>();
    services.forEach(service -> byName.put(service.name(), service));
    for (Located<Route> route : routes) {
      checkService(route.value(), byName.get(route.value().service()), route.location());
    }
  }

  private void checkService(Route route, @Nullable Service service, SourceLocation location) {
    if (service == null) {
      if (!route.service().value().isEmpty()) {
        faults.add(
            location,
            "there is no service \"" + route.service() + "\"",
            "add it to services or correct the route's service");
      }
    } else if (faultFreeRoutes.contains(route)
        && service.retry().mode() != RetryMode.NONE
        && service.retry().baseBackoff().compareTo(route.timeout()) >= 0) {
      faults.add(
          location,
          "timeoutMillis is not above the service's retry.baseBackoffMillis, so no retry can run",
          "raise timeoutMillis, lower baseBackoffMillis or set the service's retry.mode to none");
    }
  }

  /**
   * Builds the document.
   *
   * @param generation its generation
   * @param digest digest of the main bytes
   * @param fleet policy for all VMs
   * @return the document
   */
  public Document build(long generation, String digest, FleetPolicy fleet) {
    return new Document(
        generation,
        digest,
        fleet,
        workspaces,
        services,
        routes.stream().map(Located::value).toList());
  }
}
