package org.kumquatvane.distribution;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.VmId;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedScheduler;

/**
 * Source with a history that tests can drop or return to a copy, and connections that tests can
 * break.
 */
final class SimulatedSource {
  final Map<String, SourceItem> items = new TreeMap<>();
  final Map<VmId, Boolean> cutOff = new HashMap<>();
  long era;
  long revision = 1;
  long oldestRevision;
  private final SimulatedClock clock;
  private final SimulatedScheduler scheduler;
  private List<SourceItem> staleItems = List.of();
  private SourcePosition stalePosition = SourcePosition.NONE;
  boolean sendsPartialSnapshot;
  int readsFailingAfterFirstPage;
  boolean sendsUnreadableChanges;
  boolean neverResponds;
  boolean throwsException;
  int reads;

  /** Whether responses tell the era. */
  boolean tellsEra = true;

  /** Era that the next responses tell in place of the own one. */
  private final Deque<Long> misreadEras = new ArrayDeque<>();

  SimulatedSource(SimulatedClock clock, SimulatedScheduler scheduler) {
    this.clock = clock;
    this.scheduler = scheduler;
  }

  /** A copy of all items. */
  record Copy(Map<String, SourceItem> items, long revision) {}

  Copy copy() {
    return new Copy(new TreeMap<>(items), revision);
  }

  void returnTo(Copy copy) {
    items.clear();
    items.putAll(copy.items());
    revision = copy.revision();
    oldestRevision = 0;
    era++;
  }

  void misreadEras(Long... eras) {
    misreadEras.addAll(List.of(eras));
  }

  Map<String, String> values() {
    Map<String, String> values = new TreeMap<>();
    items.values().stream()
        .filter(item -> item.value().isPresent())
        .forEach(item -> values.put(item.key(), Replica.text(item)));
    return values;
  }

  private long toldEra() {
    if (!misreadEras.isEmpty()) {
      return misreadEras.removeFirst();
    }
    return tellsEra ? era : SourcePosition.UNKNOWN_ERA;
  }

  private static List<SourceItem> in(long era, List<SourceItem> items) {
    return items.stream().map(item -> item.at(item.position().inEra(era))).toList();
  }

  private SourcePosition next() {
    revision++;
    return position();
  }

  private SourcePosition position() {
    return new SourcePosition(era, revision);
  }

  void put(String key, String value) {
    items.put(
        key, new SourceItem(key, Optional.of(value.getBytes(StandardCharsets.UTF_8)), next()));
  }

  void remove(String key) {
    items.put(key, new SourceItem(key, Optional.empty(), next()));
  }

  ItemSource of(VmId vm) {
    return new ItemSource() {
      @Override
      public void readAll(Freshness freshness, Consumer<SourceResponse> onResponse) {
        reads++;
        if (failsToRespond()) {
          return;
        }
        boolean mayLag = freshness == Freshness.MAY_LAG && !stalePosition.isNone();
        SourceResponse response =
            mayLag ? new SourceResponse.Snapshot(staleItems, stalePosition) : snapshot();
        if (sendsPartialSnapshot) {
          later(vm, Duration.ofMillis(4), () -> onResponse.accept(partialSnapshot()), onResponse);
        }
        if (readsFailingAfterFirstPage > 0) {
          readsFailingAfterFirstPage--;
          response = new SourceResponse.Unavailable("reset between two pages");
        }
        SourceResponse last = response;
        long firstEra = era;
        Duration delay = sendsPartialSnapshot ? Duration.ofSeconds(1) : Duration.ofMillis(4);
        later(
            vm,
            delay,
            () ->
                onResponse.accept(
                    sendsPartialSnapshot && tellsEra && era != firstEra
                        ? new SourceResponse.HistoryLost(era)
                        : last),
            onResponse);
      }

      @Override
      public void watch(SourcePosition after, Duration wait, Consumer<SourceResponse> onResponse) {
        if (failsToRespond()) {
          return;
        }
        poll(vm, after.revision(), Deadline.after(clock, wait), onResponse);
      }
    };
  }

  private boolean failsToRespond() {
    if (throwsException) {
      throw new IllegalStateException("defect of the client");
    }
    return neverResponds;
  }

  private void poll(VmId vm, long after, Deadline end, Consumer<SourceResponse> onResponse) {
    later(
        vm,
        Duration.ofMillis(5),
        () -> {
          if (sendsUnreadableChanges && revision > after) {
            onResponse.accept(new SourceResponse.Unreadable("malformed"));
          } else if (after < oldestRevision || after > revision) {
            onResponse.accept(new SourceResponse.HistoryLost(toldEra()));
          } else if (revision > after || end.isReached(clock)) {
            long told = toldEra();
            onResponse.accept(
                new SourceResponse.Changes(
                    in(
                        told,
                        items.values().stream()
                            .filter(item -> item.position().revision() > after)
                            .toList()),
                    position().inEra(told)));
          } else {
            poll(vm, after, end, onResponse);
          }
        },
        onResponse);
  }

  /** Excludes all later changes from reads that may lag. */
  void freezeCheapReads() {
    staleItems = presentItems();
    stalePosition = position();
  }

  private SourceResponse partialSnapshot() {
    return new SourceResponse.PartialSnapshot(in(toldEra(), presentItems().subList(0, 1)));
  }

  private SourceResponse snapshot() {
    long told = toldEra();
    return new SourceResponse.Snapshot(in(told, presentItems()), position().inEra(told));
  }

  private List<SourceItem> presentItems() {
    return items.values().stream().filter(item -> item.value().isPresent()).toList();
  }

  private void later(VmId vm, Duration delay, Runnable action, Consumer<SourceResponse> onFailure) {
    if (cutOff.getOrDefault(vm, false)) {
      scheduler.schedule(
          Deadline.after(clock, Duration.ofMillis(700)),
          () -> onFailure.accept(new SourceResponse.Unavailable("timeout")));
    } else {
      scheduler.schedule(Deadline.after(clock, delay), action);
    }
  }
}
