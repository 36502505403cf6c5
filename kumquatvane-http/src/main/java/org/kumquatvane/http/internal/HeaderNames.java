package org.kumquatvane.http.internal;

import io.servicetalk.http.api.HttpResponseMetaData;
import java.util.Locale;
import java.util.Set;
import org.kumquatvane.core.ExecutionStatus;
import org.kumquatvane.core.RequestId;

/**
 * Header names that the proxy reads, sets or removes, in lower case: HTTP/2 requires it (RFC 9113,
 * section 8.2), and HTTP/1.1 ignores the case.
 */
public final class HeaderNames {
  /** Name of the header field {@code kumquatvane-execution}. */
  public static final String EXECUTION = "kumquatvane-execution";

  /** Name of the header field {@code kumquatvane-reason}. */
  public static final String REASON = "kumquatvane-reason";

  /** Name of the header field {@code kumquatvane-request-id}. */
  public static final String REQUEST_ID = "kumquatvane-request-id";

  /** Name of the header field {@code kumquatvane-attempts}. */
  public static final String ATTEMPTS = "kumquatvane-attempts";

  /** Name of the header field {@code kumquatvane-workspace}. */
  public static final String WORKSPACE = "kumquatvane-workspace";

  /** Name of the header field {@code kumquatvane-timeout-millis}. */
  public static final String TIMEOUT_MILLIS = "kumquatvane-timeout-millis";

  /** Name of the header field {@code kumquatvane-draining}. */
  public static final String DRAINING = "kumquatvane-draining";

  /** Name of the header field {@code idempotency-key}. */
  public static final String IDEMPOTENCY_KEY = "idempotency-key";

  /**
   * Prefix of the header fields that only the proxy sets; those of callers and backend servers are
   * not forwarded.
   */
  private static final String PROXY_PREFIX = "kumquatvane-";

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

  private static final Set<String> REMOVED_FROM_REQUESTS =
      Set.of("authorization", "expect", "content-length");

  private HeaderNames() {}

  /**
   * Sets the fields that every response of the default dialect carries.
   *
   * @param response the response
   * @param execution execution status of the request
   * @param requestId the request
   * @param attempts number of attempts made
   */
  public static void setExecutionHeaders(
      HttpResponseMetaData response, ExecutionStatus execution, RequestId requestId, int attempts) {
    response.headers().set(EXECUTION, execution.token());
    response.headers().set(REQUEST_ID, requestId.value());
    response.headers().set(ATTEMPTS, Integer.toString(attempts));
  }

  /**
   * Returns a name in lower case.
   *
   * @param name the name
   * @return the lower-case name
   */
  public static String lowerCase(CharSequence name) {
    return name.toString().toLowerCase(Locale.ROOT);
  }

  /**
   * Returns whether a field is hop-by-hop.
   *
   * @param lowerCase name in lower case
   * @return whether the field must not be forwarded
   */
  public static boolean isHopByHop(String lowerCase) {
    return HOP_BY_HOP.contains(lowerCase);
  }

  /**
   * Returns whether a field of a request is forwarded to backend servers.
   *
   * @param name name of the field
   * @return whether it is forwarded
   */
  public static boolean isForwardedToBackend(CharSequence name) {
    String lowerCase = lowerCase(name);
    return !HOP_BY_HOP.contains(lowerCase)
        && !REMOVED_FROM_REQUESTS.contains(lowerCase)
        && !lowerCase.startsWith(PROXY_PREFIX);
  }

  /**
   * Returns whether a field of a response is forwarded to callers.
   *
   * @param name name of the field
   * @return whether it is forwarded
   */
  public static boolean isForwardedToCaller(CharSequence name) {
    String lowerCase = lowerCase(name);
    return !HOP_BY_HOP.contains(lowerCase) && !lowerCase.startsWith(PROXY_PREFIX);
  }
}
