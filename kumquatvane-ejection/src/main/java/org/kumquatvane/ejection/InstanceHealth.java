package org.kumquatvane.ejection;

import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;

/** Judges instances by the outcomes of real requests and ejects those that fail gray. */
public interface InstanceHealth {
  /**
   * Tells whether an instance may get a request now. Takes no lock, so that a pool may ask while it
   * holds its own.
   *
   * @param service the service
   * @param instance the instance
   * @return its eligibility
   */
  Eligibility eligibility(ServiceName service, InstanceId instance);

  /**
   * Takes note of an attempt.
   *
   * @param service the service
   * @param instance the instance
   * @param outcome what the attempt showed
   */
  void recordOutcome(ServiceName service, InstanceId instance, AttemptOutcome outcome);

  /**
   * Takes note of an instance that said itself that it leaves, before the VM list says so.
   *
   * @param service the service
   * @param instance the instance
   */
  default void instanceLeaving(ServiceName service, InstanceId instance) {}

  /**
   * Tells whether any instance of a service may be ejected. Takes no lock.
   *
   * @param service the service
   * @return false only if every instance is eligible
   */
  default boolean hasEjections(ServiceName service) {
    return true;
  }
}
