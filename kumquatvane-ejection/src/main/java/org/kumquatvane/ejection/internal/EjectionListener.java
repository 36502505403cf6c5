package org.kumquatvane.ejection.internal;

import org.kumquatvane.core.Clock;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.ejection.Eligibility;

/** Receives changes of the ejected instances, under the lock of the health table. */
public interface EjectionListener {
  /**
   * An instance is ejected.
   *
   * @param service its service
   * @param instance the instance
   * @param certainty strength of the evidence in nats
   */
  void ejected(ServiceName service, InstanceId instance, double certainty);

  /**
   * A trial failed and the ejection starts anew.
   *
   * @param service its service
   * @param instance the instance
   */
  void prolonged(ServiceName service, InstanceId instance);

  /**
   * Trials succeeded and the instance takes requests again.
   *
   * @param service its service
   * @param instance the instance
   */
  void restored(ServiceName service, InstanceId instance);

  /**
   * The floor no longer allows the ejection.
   *
   * @param service its service
   * @param instance the instance
   */
  void reversed(ServiceName service, InstanceId instance);

  /**
   * The evidence would eject, but the floor does not allow it.
   *
   * @param service its service
   * @param instance the instance
   */
  void deniedByFloor(ServiceName service, InstanceId instance);

  /** What readers without the lock need of an ejection. */
  @FunctionalInterface
  interface EligibilityView {
    /**
     * Tells whether the instance may get a trial now.
     *
     * @param clock clock of the deadlines
     * @return trial or ejected
     */
    Eligibility eligibility(Clock clock);
  }
}
