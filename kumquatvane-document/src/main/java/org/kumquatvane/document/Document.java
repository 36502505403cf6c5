package org.kumquatvane.document;

import java.util.List;

/**
 * Valid, immutable configuration document of one environment, written by operators.
 *
 * @param generation increases with every change; a lower generation is never accepted
 * @param digest SHA-256 of the document's bytes in hexadecimal
 * @param fleet policy for all VMs
 * @param workspaces the workspaces, with unique names
 * @param services the services, with unique names
 * @param routes the routes, with unique names
 */
public record Document(
    long generation,
    String digest,
    FleetPolicy fleet,
    List<Workspace> workspaces,
    List<Service> services,
    List<Route> routes) {
  /** Copies the lists. */
  public Document {
    workspaces = List.copyOf(workspaces);
    services = List.copyOf(services);
    routes = List.copyOf(routes);
  }
}
