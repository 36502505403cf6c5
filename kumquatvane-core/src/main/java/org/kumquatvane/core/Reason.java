package org.kumquatvane.core;

import java.util.Locale;

/**
 * Reasons for refusing a request or retrying an attempt.
 *
 * <p>Each reason defines its HTTP status, stable code, execution status, counter, log field and
 * remedy.
 */
public enum Reason {
  /** The request carries no key. */
  KEY_MISSING(
      Kind.REFUSAL,
      401,
      ExecutionStatus.NOT_RUN,
      "Send the workspace's key in the header Authorization: Bearer <key>."),
  /** The key does not have the form of a key. */
  KEY_MALFORMED(
      Kind.REFUSAL,
      401,
      ExecutionStatus.NOT_RUN,
      "Send a key as printed by 'kumquatvane key': kv1_ and 43 characters."),
  /** The key is unknown or withdrawn. */
  KEY_NOT_ACCEPTED(
      Kind.REFUSAL,
      401,
      ExecutionStatus.NOT_RUN,
      "Use a key that the operators have granted and not withdrawn."),
  /** More than one key was sent. */
  KEY_DUPLICATED(
      Kind.REFUSAL, 400, ExecutionStatus.NOT_RUN, "Send exactly one Authorization header."),
  /** The key is also present outside the Authorization header. */
  KEY_MISPLACED(
      Kind.REFUSAL,
      400,
      ExecutionStatus.NOT_RUN,
      "Send the key in the Authorization header only, never in the URL or another header."),
  /** The request is malformed. */
  REQUEST_MALFORMED(
      Kind.REFUSAL, 400, ExecutionStatus.NOT_RUN, "Correct the request as the detail says."),
  /** The request head is larger than the limit. */
  HEAD_TOO_LARGE(
      Kind.REFUSAL, 431, ExecutionStatus.NOT_RUN, "Send fewer or shorter header fields."),
  /** The request body is larger than the route allows. */
  BODY_TOO_LARGE(
      Kind.REFUSAL,
      413,
      ExecutionStatus.NOT_RUN,
      "Send a smaller body; the detail names the limit."),
  /** No route matches the path. */
  ROUTE_NOT_FOUND(
      Kind.REFUSAL, 404, ExecutionStatus.NOT_RUN, "Use a path of the document in force."),
  /** The path has a route, but not for this method. */
  METHOD_NOT_ALLOWED(
      Kind.REFUSAL, 405, ExecutionStatus.NOT_RUN, "Use a method that the route lists."),
  /** The route is not open to the workspace. */
  ROUTE_FORBIDDEN(
      Kind.REFUSAL,
      403,
      ExecutionStatus.NOT_RUN,
      "Ask the operators to add the workspace to the route."),
  /** The workspace has used up its rate and burst. */
  RATE_LIMITED(
      Kind.REFUSAL,
      429,
      ExecutionStatus.NOT_RUN,
      "Send again after the time in Retry-After, or ask for a higher rate."),
  /** The VM has no share of the workspace's rate yet. */
  SHARE_UNSETTLED(
      Kind.REFUSAL,
      503,
      ExecutionStatus.NOT_RUN,
      "Send again shortly; the VM has started or resumed and waits for its share of the rate."),
  /** The idempotency key is required and absent. */
  IDEMPOTENCY_KEY_MISSING(
      Kind.REFUSAL,
      400,
      ExecutionStatus.NOT_RUN,
      "Send a new UUIDv7 in the header Idempotency-Key, the same one on each repeat."),
  /** The idempotency key is not a UUIDv7 or its timestamp lies in the future. */
  IDEMPOTENCY_KEY_MALFORMED(
      Kind.REFUSAL,
      400,
      ExecutionStatus.NOT_RUN,
      "Send one Idempotency-Key that is a UUIDv7 of the current time."),
  /** The idempotency key was used with another request. */
  IDEMPOTENCY_KEY_REUSED(
      Kind.REFUSAL,
      422,
      ExecutionStatus.NOT_RUN,
      "Use a new Idempotency-Key for a different request."),
  /** It is unknown whether an earlier request with this key has run. */
  OUTCOME_UNKNOWN(
      Kind.REFUSAL,
      503,
      ExecutionStatus.MAY_HAVE_RUN,
      "Look up the result at the service before sending a new request."),
  /** The operation has run, but its response was too large to be stored for replay. */
  ANSWER_NOT_KEPT(
      Kind.REFUSAL,
      409,
      ExecutionStatus.RUN,
      "The operation has run; look up the result at the service."),
  /** The worker queue or the limit on requests in flight is full. */
  OVERLOADED(
      Kind.REFUSAL, 503, ExecutionStatus.NOT_RUN, "Send again after the time in Retry-After."),
  /** The queue of the service or the workspace's part of it is full. */
  QUEUE_FULL(
      Kind.REFUSAL, 503, ExecutionStatus.NOT_RUN, "Send again after the time in Retry-After."),
  /** The request cannot finish before its deadline. */
  DEADLINE_UNREACHABLE(
      Kind.REFUSAL,
      503,
      ExecutionStatus.NOT_RUN,
      "Allow more time or send again when the service is less busy."),
  /** The deadline passed while the request waited. */
  DEADLINE_PASSED_WAITING(
      Kind.REFUSAL,
      504,
      ExecutionStatus.NOT_RUN,
      "Allow more time or send again when the service is less busy."),
  /** The deadline passed while a backend server processed the request. */
  DEADLINE_PASSED_RUNNING(
      Kind.REFUSAL,
      504,
      ExecutionStatus.MAY_HAVE_RUN,
      "Look up the result before sending again, or allow more time."),
  /** The service has no instance that may receive requests. */
  NO_INSTANCE(
      Kind.REFUSAL,
      503,
      ExecutionStatus.NOT_RUN,
      "Send again shortly; operators check the service's instances with 'kumquatvane status'."),
  /** No connection to a backend server could be made. */
  CONNECT_FAILED(
      Kind.REFUSAL, 502, ExecutionStatus.NOT_RUN, "Send again; no backend server was reached."),
  /** The backend server shed the request and stated that it did not run it. */
  SHED_BY_BACKEND(
      Kind.REFUSAL, 503, ExecutionStatus.NOT_RUN, "Send again after the time in Retry-After."),
  /** The connection to the backend server broke after the request was written. */
  CONNECTION_LOST(
      Kind.REFUSAL,
      502,
      ExecutionStatus.MAY_HAVE_RUN,
      "Look up the result at the service before sending again."),
  /** The response ended early or its end cannot be verified. */
  ANSWER_INCOMPLETE(
      Kind.REFUSAL,
      502,
      ExecutionStatus.MAY_HAVE_RUN,
      "Look up the result at the service before sending again."),
  /** The response belongs to another request. */
  ANSWER_CROSSED(
      Kind.REFUSAL,
      502,
      ExecutionStatus.MAY_HAVE_RUN,
      "Look up the result at the service before sending again."),
  /** Requests with the same fingerprint have crashed several instances. */
  REQUEST_CRASHES_SERVERS(
      Kind.REFUSAL,
      422,
      ExecutionStatus.NOT_RUN,
      "Do not send this request again; report it to the owners of the service."),
  /** The VM is stopping or is not ready yet. */
  NOT_READY(
      Kind.REFUSAL, 503, ExecutionStatus.NOT_RUN, "Send again; another VM will take the request."),
  /** The request failed because of a defect in the proxy. */
  INTERNAL_ERROR(
      Kind.REFUSAL,
      500,
      ExecutionStatus.MAY_HAVE_RUN,
      "Look up the result before sending again; operators find the cause in the log."),
  /** An attempt is retried because no connection could be made. */
  RETRY_CONNECT_FAILED(Kind.RETRY, ExecutionStatus.NOT_RUN),
  /** An attempt is retried because the backend server shed it. */
  RETRY_SHED(Kind.RETRY, ExecutionStatus.NOT_RUN),
  /** An attempt of an idempotent request is retried because its connection broke. */
  RETRY_CONNECTION_LOST(Kind.RETRY, ExecutionStatus.MAY_HAVE_RUN),
  /** An attempt of an idempotent request is retried because it timed out. */
  RETRY_TIMED_OUT(Kind.RETRY, ExecutionStatus.MAY_HAVE_RUN),
  /** An attempt of an idempotent request is retried because of a server error. */
  RETRY_SERVER_ERROR(Kind.RETRY, ExecutionStatus.MAY_HAVE_RUN),
  /**
   * An attempt of an idempotent request is retried because its response belonged to another
   * request.
   */
  RETRY_ANSWER_CROSSED(Kind.RETRY, ExecutionStatus.MAY_HAVE_RUN);

  /** Whether a reason refuses a request or retries an attempt. */
  public enum Kind {
    /** The reason is returned to the caller. */
    REFUSAL,
    /** The reason only explains a retry. */
    RETRY
  }

  private final Kind kind;
  private final int httpStatus;
  private final ExecutionStatus execution;
  private final String remedy;

  Reason(Kind kind, int httpStatus, ExecutionStatus execution, String remedy) {
    this.kind = kind;
    this.httpStatus = httpStatus;
    this.execution = execution;
    this.remedy = remedy;
  }

  Reason(Kind kind, ExecutionStatus execution) {
    this(kind, 0, execution, "None is needed; the proxy tries again within the retry budget.");
  }

  /**
   * Returns whether the reason refuses a request or retries an attempt.
   *
   * @return the kind
   */
  public Kind kind() {
    return kind;
  }

  /**
   * Returns the HTTP status of the refusal.
   *
   * @return a status code, or 0 for a retry reason
   */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Returns the execution status that the refusal states unless the request flow overrides it.
   *
   * @return the execution status
   */
  public ExecutionStatus execution() {
    return execution;
  }

  /**
   * Returns what the caller or operator can do.
   *
   * @return one or two sentences
   */
  public String remedy() {
    return remedy;
  }

  /**
   * Returns the code used in headers, bodies and logs.
   *
   * @return a stable lower-case code
   */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Returns the name of the counter of this reason.
   *
   * @return a metric name
   */
  public String counterName() {
    return kind == Kind.REFUSAL ? "refusals." + code() : "retries." + code();
  }
}
