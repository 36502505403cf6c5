package org.kumquatvane.peering.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;

/** What the I/O thread does when a connection is ready. */
public interface SelectableConnection {
  /**
   * Handles readiness.
   *
   * @param key the selected key
   * @param readBuffer buffer for reading, shared by all connections
   * @throws IOException if the connection must be closed
   */
  void onReady(SelectionKey key, ByteBuffer readBuffer) throws IOException;

  /**
   * Closes the connection.
   *
   * @param cause why, for the log
   */
  void fail(String cause);
}
