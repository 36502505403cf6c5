package org.kumquatvane.http.internal;

import java.util.Locale;
import java.util.Set;

/** Header names that the proxy reads, sets or removes. */
final class HeaderNames {
  static final String EXECUTION = "Kumquatvane-Execution";
  static final String REASON = "Kumquatvane-Reason";
  static final String REQUEST_ID = "Kumquatvane-Request-Id";
  static final String ATTEMPTS = "Kumquatvane-Attempts";
  static final String WORKSPACE = "Kumquatvane-Workspace";
  static final String TIMEOUT_MILLIS = "Kumquatvane-Timeout-Millis";
  static final String DRAINING = "Kumquatvane-Draining";
  static final String IDEMPOTENCY_KEY = "Idempotency-Key";

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

  static boolean isForwardedToBackend(CharSequence name) {
    String lowerCase = name.toString().toLowerCase(Locale.ROOT);
    return !HOP_BY_HOP.contains(lowerCase)
        && !REQUEST_ONLY.contains(lowerCase)
        && !lowerCase.startsWith(OWN_PREFIX);
  }

  static boolean isForwardedToCaller(CharSequence name) {
    String lowerCase = name.toString().toLowerCase(Locale.ROOT);
    return !HOP_BY_HOP.contains(lowerCase) && !lowerCase.startsWith(OWN_PREFIX);
  }
}
