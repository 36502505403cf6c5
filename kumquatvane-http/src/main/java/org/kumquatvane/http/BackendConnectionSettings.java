package org.kumquatvane.http;

import java.time.Duration;

/**
 * Timeouts of the connections to backend servers.
 *
 * @param connectTimeout maximum time to establish a new connection
 * @param idleTimeout idle time after which a connection is closed, unless the backend server
 *     announces a shorter one
 * @param nonRetryableIdleLimit idle time after which a connection carries retryable requests only,
 *     since the peer or a middlebox may have dropped it without notice
 */
public record BackendConnectionSettings(
    Duration connectTimeout, Duration idleTimeout, Duration nonRetryableIdleLimit) {
  /**
   * Defaults for typical networks: idle connections are closed before the usual 60 s idle timeout
   * of servers and firewalls.
   */
  public static final BackendConnectionSettings STANDARD =
      new BackendConnectionSettings(
          Duration.ofSeconds(1), Duration.ofSeconds(30), Duration.ofSeconds(30));
}
