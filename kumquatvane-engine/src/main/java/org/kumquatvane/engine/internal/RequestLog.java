package org.kumquatvane.engine.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.kumquatvane.core.AttemptFailure;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;
import org.kumquatvane.engine.AuthorizedRequest;
import org.kumquatvane.engine.EngineDependencies;

/** Log lines and latencies of one request. */
final class RequestLog {
  private final EngineDependencies dependencies;
  private final AuthorizedRequest request;

  RequestLog(EngineDependencies dependencies, AuthorizedRequest request) {
    this.dependencies = dependencies;
    this.request = request;
  }

  /** Logs how the request ended. */
  void ended(String event, int attempts, String lastInstance, LogField... outcome) {
    long total = dependencies.clock().monotonicNanos() - request.head().arrivalNanos();
    dependencies.counters().duration("latency." + event, total);
    record(event, attempts, lastInstance, outcome);
  }

  /** Logs an attempt that did not end with an answer that was passed on. */
  void attemptFailed(
      int attempts, String instance, AttemptFailure failure, boolean instanceGone, String next) {
    record(
        "attempt_failed",
        attempts,
        instance,
        LogField.of("failure", failure.name().toLowerCase(Locale.ROOT)),
        LogField.of("instance_gone", instanceGone),
        LogField.of("next", next));
  }

  private void record(String event, int attempts, String instance, LogField... outcome) {
    long now = dependencies.clock().monotonicNanos();
    List<LogField> fields = new ArrayList<>();
    fields.add(LogField.of("request", request.head().id()));
    fields.add(LogField.of("workspace", request.workspace()));
    fields.add(LogField.of("route", request.route().id()));
    fields.add(LogField.of("service", request.service().name()));
    fields.add(LogField.of("priority", request.priority()));
    fields.add(LogField.of("attempts", attempts));
    fields.add(LogField.of("instance", instance));
    fields.add(LogField.of("total_ms", millis(now - request.head().arrivalNanos())));
    fields.add(LogField.of("left_ms", millis(request.deadline().nanos() - now)));
    fields.addAll(List.of(outcome));
    dependencies.eventLog().record(EventLog.Level.INFO, event, fields.toArray(LogField[]::new));
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
