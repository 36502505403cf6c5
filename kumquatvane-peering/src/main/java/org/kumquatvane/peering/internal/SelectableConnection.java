package org.kumquatvane.peering.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;

/** Connection whose I/O events are handled on the I/O thread. */
public interface SelectableConnection {
  /**
   * Performs the I/O operations that the key is ready for.
   *
   * @param key the selected key
   * @param readBuffer buffer for received bytes, shared by all connections
   * @throws IOException if the connection must be closed
   */
  void onReady(SelectionKey key, ByteBuffer readBuffer) throws IOException;

  /**
   * Closes the connection.
   *
   * @param cause reason that is logged
   */
  void fail(String cause);
}
