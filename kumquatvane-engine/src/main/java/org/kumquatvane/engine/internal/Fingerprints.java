package org.kumquatvane.engine.internal;

import org.kumquatvane.core.Sha256;
import org.kumquatvane.ejection.RequestFingerprint;
import org.kumquatvane.engine.AuthorizedRequest;
import org.kumquatvane.engine.BodyDescription;

/** Digests that identify repeated requests. */
final class Fingerprints {
  private static final char SEPARATOR = '\n';

  private Fingerprints() {}

  /**
   * Identifies repeated requests by workspace, method, path and idempotency key or body.
   *
   * @param request the request
   * @param body its body
   * @return the fingerprint
   */
  static RequestFingerprint of(AuthorizedRequest request, BodyDescription body) {
    String keyOrBody = request.head().idempotencyKey().orElse(body.digest());
    return new RequestFingerprint(
        Sha256.hex(request.workspace().value() + SEPARATOR + methodAndPath(request) + keyOrBody));
  }

  /**
   * Digests the parts that must be equal in requests with the same idempotency key.
   *
   * @param request the request
   * @param body its body
   * @return hexadecimal digest
   */
  static String requestDigest(AuthorizedRequest request, BodyDescription body) {
    return Sha256.hex(methodAndPath(request) + body.digest());
  }

  private static String methodAndPath(AuthorizedRequest request) {
    return request.head().method() + SEPARATOR + request.head().path() + SEPARATOR;
  }
}
