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
import org.kumquatvane.json.Place;

/** Collects the parts of one document and checks what concerns several of them. */
public final class DocumentBuilder {
  private final FaultCollector faults;
  private final List<Workspace> workspaces = new ArrayList<>();
  private final List<Service> services = new ArrayList<>();
  private final List<Located<Route>> routes = new ArrayList<>();
  private final List<Located<WorkspaceId>> workspaceReferences = new ArrayList<>();

  /** Routes without a fault of their own; the others hold placeholders. */
  private final Set<Route> faultFreeRoutes = Collections.newSetFromMap(new IdentityHashMap<>());

  private final Map<String, Place> workspaceNames = new HashMap<>();
  private final Map<String, Place> serviceNames = new HashMap<>();
  private final Map<String, Place> routeNames = new HashMap<>();
  private final Map<KeyDigest, Place> keys = new HashMap<>();
  private final Map<String, Place> patterns = new HashMap<>();

  /**
   * Creates an empty draft.
   *
   * @param faults receives what is wrong
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
    workspaces.addAll(reader.objects("workspaces", this::readWorkspace));
    services.addAll(reader.objects("services", this::readService));
    routes.addAll(reader.objects("routes", this::readRoute));
  }

  private Workspace readWorkspace(ObjectReader reader) {
    Workspace workspace = WorkspaceReader.read(reader, this::addKey);
    addName(workspaceNames, workspace.id().value(), "workspace", reader.place("name"));
    return workspace;
  }

  private void addKey(Located<KeyDigest> key) {
    Place first = keys.putIfAbsent(key.value(), key.place());
    if (first != null) {
      faults.add(
          key.place(),
          "the key digest is granted already at " + first,
          "grant each key once; make another key for the other workspace");
    }
  }

  private Service readService(ObjectReader reader) {
    Service service = ServiceReader.read(reader);
    addName(serviceNames, service.name().value(), "service", reader.place("name"));
    return service;
  }

  private Located<Route> readRoute(ObjectReader reader) {
    long faultsBefore = faults.count();
    Route route = RouteReader.read(reader, workspaceReferences::add);
    if (faults.count() == faultsBefore) {
      faultFreeRoutes.add(route);
    }
    addName(routeNames, route.id().value(), "route", reader.place("name"));
    for (String method : route.methods().stream().sorted().toList()) {
      Place first = patterns.putIfAbsent(method + " " + route.path(), reader.place());
      if (first != null && !route.path().isEmpty()) {
        faults.add(
            reader.place("path"),
            "the route at " + first + " has the same path and method " + method,
            "keep one of the two or change path or methods");
      }
    }
    return new Located<>(route, reader.place());
  }

  private void addName(Map<String, Place> names, String name, String kind, Place place) {
    // An empty name has been reported already.
    Place first = name.isEmpty() ? null : names.putIfAbsent(name, place);
    if (first != null) {
      faults.add(
          place,
          "the name of the " + kind + " is used already at " + first,
          "give each " + kind + " its own name");
    }
  }

  /** Checks references between the parts, after the last part was read. */
  public void checkReferences() {
    for (Located<WorkspaceId> reference : workspaceReferences) {
      if (!workspaceNames.containsKey(reference.value().value())) {
        faults.add(
            reference.place(),
            "there is no workspace \"" + reference.value() + "\"",
            "add it to workspaces or remove it here");
      }
    }
    Map<ServiceName, Service> byName = new HashMap<>();
    services.forEach(service -> byName.put(service.name(), service));
    for (Located<Route> route : routes) {
      checkService(route.value(), byName.get(route.value().service()), route.place());
    }
  }

  private void checkService(Route route, @Nullable Service service, Place place) {
    if (service == null) {
      if (!route.service().value().isEmpty()) {
        faults.add(
            place,
            "there is no service \"" + route.service() + "\"",
            "add it to services or correct the route's service");
      }
    } else if (faultFreeRoutes.contains(route)
        && service.retry().mode() != RetryMode.NONE
        && service.retry().baseBackoff().compareTo(route.timeout()) >= 0) {
      faults.add(
          place,
          "timeoutMillis is not above the service's retry.baseBackoffMillis, so no retry can run",
          "raise timeoutMillis, lower baseBackoffMillis or set the service's retry.mode to none");
    }
  }

  /**
   * Builds the document.
   *
   * @param generation its generation
   * @param digest digest of the main bytes
   * @param fleet what holds for all VMs
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
