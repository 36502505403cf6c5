package org.kumquatvane.engine;

import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.Reason;

/** The key of a request as extracted by the front end. Only its digest leaves the front end. */
public sealed interface PresentedKey {
  /**
   * Exactly one well-formed key in the expected place.
   *
   * @param digest its digest
   */
  record Present(KeyDigest digest) implements PresentedKey {}

  /**
   * No usable key.
   *
   * @param reason why the request is refused
   */
  record Unusable(Reason reason) implements PresentedKey {}
}
