package org.kumquatvane.verification.soak;

/**
 * One request as its caller saw it.
 *
 * @param requestId id of the request
 * @param vm index of the VM that it was sent to
 * @param vmProcessNumber number of the VM's process, counted from its first start
 * @param key the caller's key
 * @param path path of the request
 * @param sentNanos when its last byte was written
 * @param endedNanos when the answer was complete or the connection ended
 * @param status status of the answer, or {@link #NO_RESPONSE}
 * @param problem what was wrong with the answer or the connection; empty if nothing was
 */
record SoakRequest(
    String requestId,
    int vm,
    int vmProcessNumber,
    String key,
    String path,
    long sentNanos,
    long endedNanos,
    int status,
    String problem) {
  /** Status of a request that got no answer. */
  static final int NO_RESPONSE = 0;

  /** Problem of an answer whose body ended visibly before its declared end. */
  static final String TRUNCATED = "answer cut short";

  /** Tells whether the request may run once at most. */
  boolean isUnsafe() {
    return !path.startsWith(PublishedConfigurations.LOOK_UPS);
  }

  /** Tells whether the caller was promised that the request has not run. */
  boolean isReportedNotRun() {
    return status == 408 || status == 421 || status == 429 || status == 503;
  }

  /** Body of the answer of an instance to this request. */
  static String responseBodyFor(String requestId) {
    return "answer to " + requestId + " " + "-".repeat(Math.floorMod(requestId.hashCode(), 900));
  }
}
