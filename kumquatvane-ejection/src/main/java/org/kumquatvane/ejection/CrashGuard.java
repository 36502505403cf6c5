package org.kumquatvane.ejection;

import org.kumquatvane.core.InstanceId;

/** Recognises requests that end the instances that run them. */
public interface CrashGuard {
  /**
   * Tells whether a request has ended too many instances.
   *
   * @param fingerprint the request
   * @return whether it must be refused
   */
  boolean isBlocked(RequestFingerprint fingerprint);

  /**
   * Takes note of an instance that vanished while it ran a request.
   *
   * @param fingerprint the request
   * @param instance the instance
   */
  void instanceLost(RequestFingerprint fingerprint, InstanceId instance);

  /**
   * Takes note of an answer, which shows that the request does not end instances.
   *
   * @param fingerprint the request
   * @param instance the instance that answered
   */
  default void answered(RequestFingerprint fingerprint, InstanceId instance) {}
}
