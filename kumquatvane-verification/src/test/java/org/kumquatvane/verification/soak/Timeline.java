package org.kumquatvane.verification.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * What was disturbed when, in nanoseconds of {@link System#nanoTime}; a place without an index is
 * disturbed as a whole.
 */
final class Timeline {
  private static final int ANY = -1;

  private final List<Span> spans = new ArrayList<>();

  private record Span(
      Disturbance.Kind kind, Disturbance.Place place, int index, long from, long until) {}

  synchronized void add(
      Disturbance.Kind kind, Disturbance.Place place, int index, long from, long until) {
    spans.add(new Span(kind, place, index, from, until));
  }

  synchronized void addWhole(
      Disturbance.Kind kind, Disturbance.Place place, long from, long until) {
    spans.add(new Span(kind, place, ANY, from, until));
  }

  /** Tells whether a place was left alone during a time, but for the kinds that are named. */
  synchronized boolean isCalm(
      Disturbance.Place place, int index, long from, long until, Disturbance.Kind... but) {
    return spans.stream()
        .filter(span -> span.place() == place && !List.of(but).contains(span.kind()))
        .filter(span -> span.index() == index || span.index() == ANY || index == ANY)
        .noneMatch(span -> span.from() <= until && span.until() >= from);
  }

  /** Tells whether a kind happened at a place during a time. */
  synchronized boolean happened(Disturbance.Kind kind, int index, long from, long until) {
    return spans.stream()
        .filter(span -> span.kind() == kind && span.index() == index)
        .anyMatch(span -> span.from() <= until && span.until() >= from);
  }

  /** Describes what overlaps a time, for the trace of a violation. */
  synchronized List<String> around(long from, long until, long originNanos) {
    return spans.stream()
        .filter(span -> span.from() <= until && span.until() >= from)
        .map(
            span ->
                "%s %s %d: %.2f s to %.2f s"
                    .formatted(
                        span.kind(),
                        span.place(),
                        span.index(),
                        (span.from() - originNanos) / 1e9,
                        (span.until() - originNanos) / 1e9))
        .toList();
  }
}
