package org.kumquatvane.peering.codec;

import org.kumquatvane.core.PeerMessage;

/** Result of decoding a frame. */
public sealed interface DecodeResult {
  /**
   * A message of a supported type.
   *
   * @param metricLabel label of the message type in metric names
   * @param message the message
   */
  record Message(String metricLabel, PeerMessage message) implements DecodeResult {}

  /**
   * A message type that this version does not support; the message is ignored.
   *
   * @param type number of the type
   */
  record UnknownType(int type) implements DecodeResult {}

  /**
   * Bytes that are not a valid message.
   *
   * @param detail description of the error
   */
  record Malformed(String detail) implements DecodeResult {}
}
