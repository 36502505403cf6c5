package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.core.PeerMessage;

/**
 * Writes and reads one type of message. Field 0 belongs to the registry.
 *
 * <p>Numbers of types and fields are never used again for something else, so that VMs of different
 * versions understand each other during a rolling upgrade.
 *
 * @param <M> the message
 */
public interface MessageCodec<M extends PeerMessage> {
  /**
   * Returns the number of the message type.
   *
   * @return a number from 1 to 127 that no other message has
   */
  int type();

  /**
   * Returns the class of the messages.
   *
   * @return the class
   */
  Class<M> messageClass();

  /**
   * Writes the fields.
   *
   * @param message the message
   * @param fields receives its fields
   * @throws IOException if the packer fails, which is a defect
   */
  void write(M message, FieldWriter fields) throws IOException;

  /**
   * Reads the fields.
   *
   * @param fields gives the fields in the order of the sender
   * @return the message
   * @throws IOException if the fields are malformed or one is missing
   */
  M read(FieldReader fields) throws IOException;
}
