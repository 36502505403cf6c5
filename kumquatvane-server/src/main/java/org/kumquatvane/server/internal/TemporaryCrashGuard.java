package org.kumquatvane.server.internal;

import org.kumquatvane.core.InstanceId;
import org.kumquatvane.ejection.CrashGuard;
import org.kumquatvane.ejection.RequestFingerprint;

/** temp. */
public final class TemporaryCrashGuard implements CrashGuard {
  @Override
  public boolean isBlocked(RequestFingerprint fingerprint) {
    return false;
  }

  @Override
  public void instanceLost(RequestFingerprint fingerprint, InstanceId instance) {}
}
