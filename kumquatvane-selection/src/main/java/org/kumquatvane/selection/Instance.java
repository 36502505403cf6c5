package org.kumquatvane.selection;

import java.util.Optional;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.SocketEndpoint;

/**
 * One instance of a service.
 *
 * @param id its name
 * @param service its service
 * @param endpoint where it serves HTTP
 * @param failureDomain its failure domain
 * @param leaving whether it is listed as leaving
 * @param slots number of requests that it processes concurrently; 0 for the default of its service
 * @param incarnation number that changes when the instance restarts under the same name; 0 if
 *     unknown
 * @param warmAt when its warm-up ends, if it was listed as starting
 */
public record Instance(
    InstanceId id,
    ServiceName service,
    SocketEndpoint endpoint,
    FailureDomain failureDomain,
    boolean leaving,
    int slots,
    long incarnation,
    Optional<Deadline> warmAt) {
  /**
   * Creates a warm instance with the default slots of its service.
   *
   * @param id its name
   * @param service its service
   * @param endpoint where it serves HTTP
   * @param failureDomain its failure domain
   * @param leaving whether it is listed as leaving
   */
  public Instance(
      InstanceId id,
      ServiceName service,
      SocketEndpoint endpoint,
      FailureDomain failureDomain,
      boolean leaving) {
    this(id, service, endpoint, failureDomain, leaving, 0, 0, Optional.empty());
  }
}
