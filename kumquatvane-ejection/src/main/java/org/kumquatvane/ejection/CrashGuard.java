package org.kumquatvane.ejection;

import org.kumquatvane.core.InstanceId;

/** Detects poison requests, which crash the instances that run them. */
public interface CrashGuard {
  /**
   * Returns whether a request has crashed too many instances.
   *
   * @param fingerprint the request
   * @return whether the request must be refused
   */
  boolean isBlocked(RequestFingerprint fingerprint);

  /**
   * Records the loss of an instance while it ran a request.
   *
   * @param fingerprint the request
   * @param instance the instance
   */
  void recordInstanceLoss(RequestFingerprint fingerprint, InstanceId instance);

  /**
   * Records a response, which shows that the request does not crash instances.
   *
   * @param fingerprint the request
   * @param instance the instance that responded
   */
  default void recordResponse(RequestFingerprint fingerprint, InstanceId instance) {}
}
