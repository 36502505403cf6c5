package org.kumquatvane.verification.platform;

import java.util.Optional;
import java.util.Set;

/** Compares what callers got with what instances recorded. */
final class ResponseComparison {
  /** Statuses by which a caller may conclude that its request has not run. */
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  private final ResponseRecords records;

  ResponseComparison(ResponseRecords records) {
    this.records = records;
  }

  /** Returns the kind of the mismatch, or empty if the caller got what it may get. */
  Optional<String> mismatch(RecordingCaller.Outcome outcome) {
    if (!outcome.fault().isEmpty()) {
      return Optional.of("bytes that belong to no response");
    }
    // A request may also run after its caller was answered or has left.
    long runs =
        records.arrivals(outcome.id()).stream().filter(ResponseRecords.Arrival::hasRun).count();
    if (!outcome.isSafe() && runs > 1) {
      return Optional.of("unsafe request ran more than once" + repeats(outcome));
    }
    if (!outcome.isSafe() && runs > 0 && NOT_RUN_STATUSES.contains(outcome.status())) {
      return Optional.of("status says not run, but the request has run" + repeats(outcome));
    }
    if (outcome.status() == 0) {
      return Optional.empty();
    }
    if (!outcome.echoedId().equals(outcome.id())) {
      return Optional.of("id of another request");
    }
    boolean isSuccess = outcome.status() >= 200 && outcome.status() < 300;
    if (!outcome.signature().isEmpty()) {
      return mismatchOfSigned(outcome, isSuccess);
    }
    return isSuccess ? Optional.of("success without signature") : Optional.empty();
  }

  private Optional<String> mismatchOfSigned(RecordingCaller.Outcome outcome, boolean isSuccess) {
    if (records.isAlteredSecond(outcome.signature())) {
      return Optional.of("status " + outcome.status() + " of a second response" + repeats(outcome));
    }
    ResponseRecords.Arrival arrival = records.responses().get(outcome.signature());
    if (arrival == null) {
      return Optional.of("signature that no instance wrote");
    }
    if (!arrival.id().equals(outcome.id())) {
      return Optional.of("response to another request");
    }
    if (arrival.status() != outcome.status()) {
      return Optional.of(
          "status "
              + outcome.status()
              + " instead of "
              + arrival.status()
              + repeats(outcome)
              + arrival.cutBefore());
    }
    // Bytes that the instance wrote inside its response can't be told from the body.
    if (isSuccess
        && outcome.isComplete()
        && !arrival.isInterrupted()
        && !arrival.body().equals(outcome.body())) {
      return Optional.of("body that differs");
    }
    return Optional.empty();
  }

  private String repeats(RecordingCaller.Outcome outcome) {
    return records.arrivals(outcome.id()).stream()
            .anyMatch(ResponseRecords.Arrival::isRepeatOnConnection)
        ? ", id twice on a connection"
        : ", id once on each connection";
  }
}
