package org.kumquatvane.engine.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.AttemptFailure;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;
import org.kumquatvane.engine.AttemptTrace;
import org.kumquatvane.engine.AuthorizedRequest;
import org.kumquatvane.engine.EngineDependencies;
import org.kumquatvane.selection.Reservation;

/** Log events and latency metrics of one request. */
final class RequestLog {
  /** Risks are logged in whole percent. */
  private static final double PERCENT = 100;

  private final EngineDependencies dependencies;
  private final AuthorizedRequest request;
  private volatile @Nullable Reservation lastReservation;
  private volatile Supplier<AttemptTrace> lastTrace = () -> AttemptTrace.NONE;

  RequestLog(EngineDependencies dependencies, AuthorizedRequest request) {
    this.dependencies = dependencies;
    this.request = request;
  }

  /** Sets the reservation of the next attempt and the source of its trace. */
  void setAttempt(Reservation reservation, Supplier<AttemptTrace> trace) {
    lastReservation = reservation;
    lastTrace = trace;
  }

  /** Logs how the request ended. */
  void logEnd(String event, int attempts, LogField... outcome) {
    long totalNanos = dependencies.clock().monotonicNanos() - request.head().arrivalNanos();
    dependencies.counters().recordDuration("latency." + event, totalNanos);
    logEvent(event, attempts, outcome);
  }

  /** Logs an attempt whose response, if any, is not delivered. */
  void logAttemptFailure(int attempts, AttemptFailure failure, boolean instanceGone, String next) {
    logEvent(
        "attempt_failed",
        attempts,
        LogField.of("failure", failure.name().toLowerCase(Locale.ROOT)),
        LogField.of("not_run_ground", failure.notRunGround().token()),
        LogField.of("instance_gone", instanceGone),
        LogField.of("next", next));
  }

  private void logEvent(String event, int attempts, LogField... outcome) {
    long now = dependencies.clock().monotonicNanos();
    List<LogField> fields = new ArrayList<>();
    fields.add(LogField.of("request", request.head().id()));
    fields.add(LogField.of("workspace", request.workspace()));
    fields.add(LogField.of("route", request.route().id()));
    fields.add(LogField.of("service", request.service().name()));
    fields.add(LogField.of("priority", request.priority()));
    fields.add(LogField.of("idempotent", request.route().idempotent()));
    fields.add(LogField.of("attempts", attempts));
    addInstanceFields(fields);
    addTraceFields(fields);
    fields.add(LogField.of("total_ms", toMillis(now - request.head().arrivalNanos())));
    fields.add(LogField.of("left_ms", toMillis(request.deadline().nanos() - now)));
    fields.addAll(List.of(outcome));
    dependencies.eventLog().record(EventLog.Level.INFO, event, fields.toArray(LogField[]::new));
  }

  /** Adds the instance of the last attempt and the data behind its selection. */
  private void addInstanceFields(List<LogField> fields) {
    Reservation reservation = lastReservation;
    fields.add(LogField.of("instance", reservation == null ? "" : reservation.instance().id()));
    if (reservation != null) {
      fields.add(LogField.of("address", reservation.instance().endpoint()));
      Reservation.SelectionSnapshot snapshot = reservation.snapshot();
      fields.add(LogField.of("risk", Math.round(snapshot.failureProbability() * PERCENT)));
      fields.add(LogField.of("evidence_age_ms", snapshot.evidenceAgeMillis()));
      fields.add(LogField.of("instance_attempts", snapshot.attemptsInFlight()));
    }
  }

  /** Adds the connection and the response of the last attempt, if it had a connection. */
  private void addTraceFields(List<LogField> fields) {
    AttemptTrace trace = lastTrace.get();
    if (trace.connection() == 0) {
      return;
    }
    fields.add(LogField.of("connection", trace.connection()));
    fields.add(LogField.of("connection_requests", trace.requestsOnConnection()));
    fields.add(LogField.of("carried_before", trace.wasCarriedBefore()));
    fields.add(LogField.of("request_written", trace.isRequestWritten()));
    fields.add(LogField.of("status_read", trace.status()));
    trace
        .declaredBytes()
        .ifPresent(declared -> fields.add(LogField.of("declared_bytes", declared)));
    fields.add(LogField.of("body_bytes", trace.bodyBytes()));
    fields.add(LogField.of("extra_bytes", trace.extraBytes()));
  }

  private static long toMillis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
