package org.kumquatvane.admin;

import java.util.List;

/** Tells the platform's balancer whether this VM takes new requests. */
public interface Readiness {
  /**
   * Returns what keeps the VM from being ready.
   *
   * @return stable codes; empty if the VM is ready
   */
  List<String> obstacles();
}
