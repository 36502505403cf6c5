package org.kumquatvane.engine;

import org.kumquatvane.document.Service;

/** Divides the connections that an instance accepts among the VMs of the fleet. */
@FunctionalInterface
public interface ConnectionShare {
  /**
   * Returns how many connections this VM may hold to one instance.
   *
   * @param service the service of the instance
   * @return connections, at least 1
   */
  int connectionsPerInstance(Service service);
}
