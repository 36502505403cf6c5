package org.kumquatvane.engine.internal;

import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.ejection.RequestFingerprint;
import org.kumquatvane.engine.AuthorizedRequest;
import org.kumquatvane.engine.BodyDescription;

/** Digests that identify repeats of a request. */
final class Fingerprints {
  private static final char SEPARATOR = '\n';

  private Fingerprints() {}

  /**
   * Identifies a request that its caller sends again, by workspace, method, path and idempotency
   * key or body.
   *
   * @param request the request
   * @param body its body
   * @return the fingerprint
   */
  static RequestFingerprint of(AuthorizedRequest request, BodyDescription body) {
    String repeat = request.head().idempotencyKey().orElse(body.digest());
    return new RequestFingerprint(
        digest(request.workspace().value() + SEPARATOR + methodAndPath(request) + repeat));
  }

  /**
   * Digests what must be equal in repeats with the same idempotency key.
   *
   * @param request the request
   * @param body its body
   * @return hexadecimal digest
   */
  static String requestDigest(AuthorizedRequest request, BodyDescription body) {
    return digest(methodAndPath(request) + body.digest());
  }

  private static String methodAndPath(AuthorizedRequest request) {
    return request.head().method() + SEPARATOR + request.head().path() + SEPARATOR;
  }

  private static String digest(String text) {
    return KeyDigest.ofKey(text).hex();
  }
}
