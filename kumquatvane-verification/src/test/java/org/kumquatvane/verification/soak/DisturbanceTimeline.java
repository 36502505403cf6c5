package org.kumquatvane.verification.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * What was disturbed when, in nanoseconds of {@link System#nanoTime}; a place without an index is
 * disturbed as a whole.
 */
final class DisturbanceTimeline {
  private static final int ANY = -1;

  private final List<Span> spans = new ArrayList<>();

  private record Span(
      Disturbance.Kind kind, Disturbance.Target target, int index, long from, long until) {}

  synchronized void add(
      Disturbance.Kind kind, Disturbance.Target target, int index, long from, long until) {
    spans.add(new Span(kind, target, index, from, until));
  }

  synchronized void addForAll(
      Disturbance.Kind kind, Disturbance.Target target, long from, long until) {
    spans.add(new Span(kind, target, ANY, from, until));
  }

  /** Tells whether a place was left alone during a time, but for the kinds that are named. */
  synchronized boolean isUndisturbed(
      Disturbance.Target target,
      int index,
      long from,
      long until,
      Disturbance.Kind... ignoredKinds) {
    return spans.stream()
        .filter(span -> span.target() == target && !List.of(ignoredKinds).contains(span.kind()))
        .filter(span -> span.index() == index || span.index() == ANY || index == ANY)
        .noneMatch(span -> span.from() <= until && span.until() >= from);
  }

  /** Tells whether a kind happened at a place during a time. */
  synchronized boolean hasDisturbance(Disturbance.Kind kind, int index, long from, long until) {
    return spans.stream()
        .filter(span -> span.kind() == kind && span.index() == index)
        .anyMatch(span -> span.from() <= until && span.until() >= from);
  }

  /** Describes what overlaps a time, for the trace of a violation. */
  synchronized List<String> describeOverlapping(long from, long until, long originNanos) {
    return spans.stream()
        .filter(span -> span.from() <= until && span.until() >= from)
        .map(
            span ->
                "%s %s %d: %.2f s to %.2f s"
                    .formatted(
                        span.kind(),
                        span.target(),
                        span.index(),
                        (span.from() - originNanos) / 1e9,
                        (span.until() - originNanos) / 1e9))
        .toList();
  }
}
