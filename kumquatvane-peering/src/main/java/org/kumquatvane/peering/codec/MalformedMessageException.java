package org.kumquatvane.peering.codec;

import java.io.IOException;

/** Received bytes that are no valid message; the registry turns it into a result. */
public final class MalformedMessageException extends IOException {
  private static final long serialVersionUID = 1;

  /**
   * Creates the exception.
   *
   * @param message what is wrong and where
   */
  public MalformedMessageException(String message) {
    super(message);
  }
}
