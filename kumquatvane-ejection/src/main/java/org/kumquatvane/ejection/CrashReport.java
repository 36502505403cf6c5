package org.kumquatvane.ejection;

import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.PeerMessage;

/**
 * Reports to other VMs whether a request crashes the instances that run it.
 *
 * @param fingerprint the request
 * @param instance the instance that ran the request
 * @param outcome what happened to the instance
 */
public record CrashReport(RequestFingerprint fingerprint, InstanceId instance, Outcome outcome)
    implements PeerMessage {
  /** What happened to an instance that ran a suspected request. */
  public enum Outcome {
    /** The instance was lost during the request. */
    INSTANCE_LOST,
    /** The instance responded, so the request does not crash instances. */
    ANSWERED
  }
}
