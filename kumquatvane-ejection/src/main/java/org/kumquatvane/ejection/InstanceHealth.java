package org.kumquatvane.ejection;

import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;

/**
 * Passive health checking: evaluates instances by the outcomes of real requests and ejects those
 * with gray failures.
 */
public interface InstanceHealth {
  /**
   * Returns whether an instance may receive a request now. Acquires no lock, so that a pool may
   * call it while holding its own.
   *
   * @param service the service
   * @param instance the instance
   * @return its eligibility
   */
  Eligibility eligibility(ServiceName service, InstanceId instance);

  /**
   * Records the outcome of an attempt.
   *
   * @param service the service
   * @param instance the instance
   * @param outcome outcome of the attempt
   */
  void recordOutcome(ServiceName service, InstanceId instance, AttemptOutcome outcome);

  /**
   * Records that an instance has announced its departure before the VM list reports it.
   *
   * @param service the service
   * @param instance the instance
   */
  default void instanceLeaving(ServiceName service, InstanceId instance) {}

  /**
   * Returns whether any instance of a service may be ejected. Acquires no lock.
   *
   * @param service the service
   * @return false only if every instance is eligible
   */
  default boolean hasEjections(ServiceName service) {
    return true;
  }
}
