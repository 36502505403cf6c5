package org.kumquatvane.ejection.internal;

import org.kumquatvane.core.Clock;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.ejection.Eligibility;

/** Receives changes of ejections, under the lock of the outlier detector. */
public interface EjectionListener {
  /**
   * Called when an instance is ejected.
   *
   * @param service its service
   * @param instance the instance
   * @param certainty strength of the evidence in nats
   */
  void ejected(ServiceName service, InstanceId instance, double certainty);

  /**
   * Called when a trial failed and the ejection starts over.
   *
   * @param service its service
   * @param instance the instance
   */
  void prolonged(ServiceName service, InstanceId instance);

  /**
   * Called when the trials succeeded and the instance receives requests again.
   *
   * @param service its service
   * @param instance the instance
   */
  void restored(ServiceName service, InstanceId instance);

  /**
   * Called when the floor no longer allows an ejection.
   *
   * @param service its service
   * @param instance the instance
   */
  void reversed(ServiceName service, InstanceId instance);

  /**
   * Called when the evidence suffices for an ejection that the floor does not allow.
   *
   * @param service its service
   * @param instance the instance
   */
  void deniedByFloor(ServiceName service, InstanceId instance);

  /** View of an ejection that is read without the lock. */
  @FunctionalInterface
  interface EligibilityView {
    /**
     * Returns whether the instance may receive a trial request now.
     *
     * @param clock clock of the deadlines
     * @return trial or ejected
     */
    Eligibility eligibility(Clock clock);
  }
}
