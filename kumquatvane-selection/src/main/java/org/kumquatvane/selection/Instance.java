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
 * @param slots requests that it works on at once; 0 for the number that its service states
 * @param incarnation changes when the instance starts again under the same name; 0 if unknown
 * @param warmAt when it reaches its usual speed, if it was listed as starting
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
   * Creates a warm instance with the slots that its service states.
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
