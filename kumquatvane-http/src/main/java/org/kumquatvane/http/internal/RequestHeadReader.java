package org.kumquatvane.http.internal;

import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpProtocolVersion;
import io.servicetalk.http.api.HttpRequestMetaData;
import java.time.Duration;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Reason;
import org.kumquatvane.core.RequestId;
import org.kumquatvane.engine.CallerRequest;
import org.kumquatvane.engine.Refusal;
import org.kumquatvane.http.MessageSizeLimits;
import org.kumquatvane.http.RequestHeadResult;

/** Validates and parses the head of a caller's request. */
public final class RequestHeadReader {
  private static final int FIELD_OVERHEAD_BYTES = 4;
  private static final long MAXIMUM_TIMEOUT_MILLIS = 3_600_000;

  private final Clock clock;
  private final MessageSizeLimits limits;

  /**
   * Creates a reader.
   *
   * @param clock clock of the arrival times
   * @param limits size limit of heads
   */
  public RequestHeadReader(Clock clock, MessageSizeLimits limits) {
    this.clock = clock;
    this.limits = limits;
  }

  /**
   * Validates and parses a head.
   *
   * @param request the head
   * @return the parsed request, or why it is refused
   */
  public RequestHeadResult read(HttpRequestMetaData request) {
    RequestId id = new RequestId(UUID.randomUUID().toString());
    Optional<Refusal> fault = check(request);
    if (fault.isPresent()) {
      return new RequestHeadResult.Invalid(id, fault.get());
    }
    HttpHeaders headers = request.headers();
    Optional<String> timeout = trimmedValue(headers, HeaderNames.TIMEOUT_MILLIS);
    return new RequestHeadResult.Valid(
        new CallerRequest(
            id,
            request.method().name(),
            PercentEncoding.decodeOnce(pathOf(request.requestTarget())),
            CallerKeys.read(headers, request.requestTarget()),
            trimmedValue(headers, HeaderNames.IDEMPOTENCY_KEY),
            timeout.map(text -> Duration.ofMillis(Long.parseLong(text))),
            clock.monotonicNanos()));
  }

  private Optional<Refusal> check(HttpRequestMetaData request) {
    return checkSize(request, limits.maximumHeadBytes())
        .or(() -> checkTarget(request.requestTarget()))
        .or(() -> checkFraming(request))
        .or(() -> checkTimeout(request.headers()))
        .or(() -> checkIdempotencyKey(request.headers()));
  }

  private static Optional<Refusal> checkTarget(String target) {
    if (!target.startsWith("/")) {
      return malformed("the request target must start with a slash");
    }
    String path = pathOf(target);
    String decoded = PercentEncoding.decodeFully(path);
    // Backend servers normalize such paths differently, so one might execute a different route.
    boolean isAmbiguous =
        decoded.indexOf('\\') >= 0
            || decoded.chars().anyMatch(Character::isISOControl)
            || decoded.contains("//")
            || path.toLowerCase(java.util.Locale.ROOT).contains("%2f")
            || PercentEncoding.decodeOnce(path).indexOf('%') >= 0
            || hasDotSegment(decoded);
    return isAmbiguous
        ? malformed("the path has an empty, dot or encoded-slash segment or a control character")
        : Optional.empty();
  }

  private static boolean hasDotSegment(String path) {
    for (String segment : path.split("/", -1)) {
      String name = segment.split(";", 2)[0];
      if (name.equals(".") || name.equals("..")) {
        return true;
      }
    }
    return false;
  }

  /**
   * Checks the size of a head.
   *
   * @param request the head
   * @param maximumBytes maximum size of the head
   * @return why it is refused, or empty
   */
  public static Optional<Refusal> checkSize(HttpRequestMetaData request, int maximumBytes) {
    return headBytes(request) > maximumBytes
        ? refusal(Reason.HEAD_TOO_LARGE, "the head exceeds " + maximumBytes + " bytes")
        : Optional.empty();
  }

  /**
   * Checks that the end of a request is unambiguous, which prevents request smuggling.
   *
   * @param request the head
   * @return why it is refused, or empty
   */
  public static Optional<Refusal> checkFraming(HttpRequestMetaData request) {
    HttpHeaders headers = request.headers();
    if (request.version().equals(HttpProtocolVersion.HTTP_1_0)) {
      return malformed("HTTP/1.0 is not supported; use HTTP/1.1 or HTTP/2");
    }
    if (headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        && headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
      return malformed("Content-Length and Transfer-Encoding must not be sent together");
    }
    if (count(headers, HttpHeaderNames.CONTENT_LENGTH) > 1
        || count(headers, HttpHeaderNames.TRANSFER_ENCODING) > 1) {
      return malformed("the length of the body must be given once");
    }
    if (count(headers, HttpHeaderNames.HOST) > 1) {
      return malformed("Host must be sent once");
    }
    return BodyFraming.declaredLength(headers).isPresent()
            || !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        ? Optional.empty()
        : malformed("Content-Length must be a decimal number");
  }

  private static Optional<Refusal> checkTimeout(HttpHeaders headers) {
    int count = count(headers, HeaderNames.TIMEOUT_MILLIS);
    if (count == 0) {
      return Optional.empty();
    }
    long millis =
        count > 1 ? -1 : BodyFraming.parseDecimal(headers.get(HeaderNames.TIMEOUT_MILLIS));
    return millis >= 1 && millis <= MAXIMUM_TIMEOUT_MILLIS
        ? Optional.empty()
        : malformed(
            HeaderNames.TIMEOUT_MILLIS + " must be one number from 1 to " + MAXIMUM_TIMEOUT_MILLIS);
  }

  private static Optional<Refusal> checkIdempotencyKey(HttpHeaders headers) {
    return count(headers, HeaderNames.IDEMPOTENCY_KEY) > 1
        ? refusal(Reason.IDEMPOTENCY_KEY_MALFORMED, "Idempotency-Key must be sent once")
        : Optional.empty();
  }

  private static long headBytes(HttpRequestMetaData request) {
    long bytes = request.requestTarget().length();
    for (Map.Entry<CharSequence, CharSequence> field : request.headers()) {
      bytes += field.getKey().length() + field.getValue().length() + FIELD_OVERHEAD_BYTES;
    }
    return bytes;
  }

  private static int count(HttpHeaders headers, CharSequence name) {
    int count = 0;
    for (Iterator<? extends CharSequence> values = headers.valuesIterator(name);
        values.hasNext();
        values.next()) {
      count++;
    }
    return count;
  }

  private static Optional<String> trimmedValue(HttpHeaders headers, CharSequence name) {
    @Nullable CharSequence value = headers.get(name);
    return value == null ? Optional.empty() : Optional.of(value.toString().trim());
  }

  static String pathOf(String target) {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  private static Optional<Refusal> malformed(String detail) {
    return refusal(Reason.REQUEST_MALFORMED, detail);
  }

  private static Optional<Refusal> refusal(Reason reason, String detail) {
    return Optional.of(Refusal.of(reason, detail));
  }
}
