package org.kumquatvane.http.internal;

import java.util.Locale;
import java.util.Set;

/**
 * Header names that the proxy reads, sets or removes, in lower case: HTTP/2 allows no other (RFC
 * 9113, section 8.2), and in HTTP/1.1 the case does not matter.
 */
final class HeaderNames {
  static final String EXECUTION = "kumquatvane-execution";
  static final String REASON = "kumquatvane-reason";
  static final String REQUEST_ID = "kumquatvane-request-id";
  static final String ATTEMPTS = "kumquatvane-attempts";
  static final String WORKSPACE = "kumquatvane-workspace";
  static final String TIMEOUT_MILLIS = "kumquatvane-timeout-millis";
  static final String DRAINING = "kumquatvane-draining";
  static final String IDEMPOTENCY_KEY = "idempotency-key";

  /** All header fields of the proxy itself; callers and backend servers cannot set them. */
  private static final String OWN_PREFIX = "kumquatvane-";

  /** Fields that describe one connection (RFC 9110, section 7.6.1). */
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "http2-settings");

  private static final Set<String> REQUEST_ONLY =
      Set.of("authorization", "expect", "content-length");

  private HeaderNames() {}

  static String lowerCase(CharSequence name) {
    return name.toString().toLowerCase(Locale.ROOT);
  }

  static boolean isForwardedToBackend(CharSequence name) {
    String lowerCase = lowerCase(name);
    return !HOP_BY_HOP.contains(lowerCase)
        && !REQUEST_ONLY.contains(lowerCase)
        && !lowerCase.startsWith(OWN_PREFIX);
  }

  static boolean isForwardedToCaller(CharSequence name) {
    String lowerCase = lowerCase(name);
    return !HOP_BY_HOP.contains(lowerCase) && !lowerCase.startsWith(OWN_PREFIX);
  }
}
