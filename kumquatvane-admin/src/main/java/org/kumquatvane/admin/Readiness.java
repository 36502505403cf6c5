package org.kumquatvane.admin;

import java.util.List;

/** Readiness of this VM for new requests, as reported to the platform's load balancer. */
public interface Readiness {
  /**
   * Returns the conditions that prevent the VM from being ready.
   *
   * @return stable codes of the conditions; empty if the VM is ready
   */
  List<String> obstacles();
}
