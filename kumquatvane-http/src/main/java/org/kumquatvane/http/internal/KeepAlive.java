package org.kumquatvane.http.internal;

import io.servicetalk.http.api.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Parses the header field Keep-Alive (RFC 2068, section 19.7.1.1). */
final class KeepAlive {
  private static final String NAME = "keep-alive";
  private static final Pattern TIMEOUT = Pattern.compile("(?i)\\btimeout\\s*=\\s*(\\d{1,6})\\b");

  private KeepAlive() {}

  /**
   * Returns the time after which the backend server closes an idle connection.
   *
   * @param headers header fields of a response
   * @return the announced idle timeout, or empty
   */
  static Optional<Duration> idleTimeout(HttpHeaders headers) {
    @Nullable CharSequence value = headers.get(NAME);
    if (value == null) {
      return Optional.empty();
    }
    Matcher timeout = TIMEOUT.matcher(value);
    return timeout.find()
        ? Optional.of(Duration.ofSeconds(Long.parseLong(timeout.group(1))))
        : Optional.empty();
  }
}
