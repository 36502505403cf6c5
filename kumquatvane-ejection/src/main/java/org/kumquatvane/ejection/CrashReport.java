package org.kumquatvane.ejection;

import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.PeerMessage;

/**
 * Tells other VMs about a request that may end the instances that run it.
 *
 * @param fingerprint the request
 * @param instance the instance that ran it
 * @param outcome what became of the instance
 */
public record CrashReport(RequestFingerprint fingerprint, InstanceId instance, Outcome outcome)
    implements PeerMessage {
  /** What became of an instance that ran a suspected request. */
  public enum Outcome {
    /** The instance vanished in mid-request. */
    INSTANCE_LOST,
    /** The instance answered, so that the request does not end instances. */
    ANSWERED
  }
}
