package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.core.PeerMessage;

/**
 * Encodes and decodes one message type. Field 0 is reserved for the type number, which the registry
 * writes.
 *
 * <p>Type and field numbers are never reused for another purpose, so that VMs of different versions
 * stay compatible during a rolling upgrade.
 *
 * @param <M> class of the messages
 */
public interface MessageCodec<M extends PeerMessage> {
  /**
   * Returns the number of the message type.
   *
   * @return a unique number from 1 to 127
   */
  int type();

  /**
   * Returns the class of the messages.
   *
   * @return the class
   */
  Class<M> messageClass();

  /**
   * Estimates the encoded size, so that a message beyond the maximum is noticed before memory is
   * spent on its encoding. Types without long lists or byte arrays need no estimate.
   *
   * @param message the message
   * @return size in bytes, not more than a little above the real one
   */
  default long estimateBytes(M message) {
    return 0;
  }

  /**
   * Writes the fields.
   *
   * @param message the message
   * @param fields receives its fields
   * @throws IOException if the packer fails, which indicates a bug
   */
  void write(M message, FieldWriter fields) throws IOException;

  /**
   * Reads the fields.
   *
   * @param fields the fields, in the order in which the sender wrote them
   * @return the message
   * @throws IOException if a field is malformed or a required field is missing
   */
  M read(FieldReader fields) throws IOException;
}
