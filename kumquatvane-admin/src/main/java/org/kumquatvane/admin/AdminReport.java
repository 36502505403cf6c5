package org.kumquatvane.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;

/** Report on a part of the VM's state. */
@FunctionalInterface
public interface AdminReport {
  /**
   * Writes the state as one JSON value. Called on the worker pool.
   *
   * @param json receives the value
   * @throws IOException if the generator fails
   */
  void write(JsonGenerator json) throws IOException;
}
