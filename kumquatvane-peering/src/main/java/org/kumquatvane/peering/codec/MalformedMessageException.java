package org.kumquatvane.peering.codec;

import java.io.IOException;

/**
 * Thrown if received bytes are not a valid message. {@link MessageRegistry#decode} converts it into
 * {@link DecodeResult.Malformed}.
 */
public final class MalformedMessageException extends IOException {
  private static final long serialVersionUID = 1;

  /**
   * Creates the exception.
   *
   * @param message description of the error
   */
  public MalformedMessageException(String message) {
    super(message);
  }
}
