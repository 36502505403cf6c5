package org.kumquatvane.http;

import java.time.Duration;

/**
 * Times of the connections to backend servers.
 *
 * @param connectTimeout time for a new connection to be established
 * @param idleTimeout idle time after which a connection is closed, unless the backend server
 *     announces a shorter one
 * @param nonRetryableIdleLimit idle time after which a connection carries repeatable requests only,
 *     since the other side or a device between may have dropped it unnoticed
 */
public record BackendConnectionSettings(
    Duration connectTimeout, Duration idleTimeout, Duration nonRetryableIdleLimit) {
  /**
   * Times for usual networks: idle connections are closed before the usual idle timeouts of servers
   * and firewalls (60 s).
   */
  public static final BackendConnectionSettings STANDARD =
      new BackendConnectionSettings(
          Duration.ofSeconds(1), Duration.ofSeconds(30), Duration.ofSeconds(30));
}
