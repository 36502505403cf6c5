package org.kumquatvane.engine;

import java.time.Duration;
import java.util.Optional;
import org.kumquatvane.core.RequestId;

/**
 * The head of a caller's request, independent of any HTTP library.
 *
 * @param id identifies the logical request
 * @param host host name in lower case without a port; empty if the front end has none
 * @param method HTTP method in upper case
 * @param path absolute path without query, validated by the front end
 * @param key the caller's key
 * @param idempotencyKey the only Idempotency-Key, if one was sent
 * @param timeout timeout requested by the caller, if any
 * @param arrivalNanos monotonic arrival time in nanoseconds
 */
public record CallerRequest(
    RequestId id,
    String host,
    String method,
    String path,
    PresentedKey key,
    Optional<String> idempotencyKey,
    Optional<Duration> timeout,
    long arrivalNanos) {
  /**
   * Creates the head of a request without a host name.
   *
   * @param id identifies the logical request
   * @param method HTTP method in upper case
   * @param path absolute path without query, validated by the front end
   * @param key the caller's key
   * @param idempotencyKey the only Idempotency-Key, if one was sent
   * @param timeout timeout requested by the caller, if any
   * @param arrivalNanos monotonic arrival time in nanoseconds
   */
  public CallerRequest(
      RequestId id,
      String method,
      String path,
      PresentedKey key,
      Optional<String> idempotencyKey,
      Optional<Duration> timeout,
      long arrivalNanos) {
    this(id, "", method, path, key, idempotencyKey, timeout, arrivalNanos);
  }
}
