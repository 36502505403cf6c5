package org.kumquatvane.verification.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * Records which targets were disturbed when, in nanoseconds of {@link System#nanoTime}; a span
 * without an index covers all targets of its type.
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

  /**
   * Returns whether no disturbance of a target overlaps an interval, apart from the ignored kinds.
   */
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

  /** Returns whether a disturbance of a kind at an index overlaps an interval. */
  synchronized boolean hasDisturbance(Disturbance.Kind kind, int index, long from, long until) {
    return spans.stream()
        .filter(span -> span.kind() == kind && span.index() == index)
        .anyMatch(span -> span.from() <= until && span.until() >= from);
  }

  /** Describes the disturbances that overlap an interval, for the report of a violation. */
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
