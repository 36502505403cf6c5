package org.kumquatvane.peering.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;

/** What the I/O thread does when a connection is ready. */
public interface Connection {
  /**
   * Handles readiness.
   *
   * @param key the selected key
   * @param scratch buffer for reading, shared by all connections
   * @throws IOException if the connection must be closed
   */
  void ready(SelectionKey key, ByteBuffer scratch) throws IOException;

  /**
   * Closes the connection.
   *
   * @param cause why, for the log
   */
  void fail(String cause);
}
