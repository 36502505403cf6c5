package org.kumquatvane.selection;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.LogField;
import org.kumquatvane.core.OrderedEffects;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.Scheduler;

/**
 * The listed instances of all services.
 *
 * <p>During an outage of the list source, the entries of live instances expire. They are listed
 * again within about two seconds after the source reconnects, so instances that are missing at that
 * time are kept for that long.
 */
public final class InstanceRegistry {
  /** Time after a reconnect within which live instances are listed again. */
  private static final Duration RELISTING_TIME = Duration.ofMillis(1_900);

  /**
   * Maximum number of instances listed at once that get a log line each. A starting VM receives
   * hundreds, and a line for each takes a noticeable part of its startup time.
   */
  private static final int MAXIMUM_INDIVIDUAL_LOG_LINES = 20;

  private final RankedLock lock = new RankedLock(LockRank.DISTRIBUTION);
  private final Clock clock;
  private final Scheduler scheduler;
  private final EventLog eventLog;
  private final Consumer<Collection<Instance>> listener;
  private final OrderedEffects effects = new OrderedEffects();
  private final Map<InstanceId, Instance> listed = new HashMap<>();
  private final Map<InstanceId, Deadline> lapsing = new HashMap<>();

  /**
   * Change of one list entry.
   *
   * @param id name of the instance
   * @param instance the instance, or empty if it is no longer listed
   */
  public record Change(InstanceId id, Optional<Instance> instance) {}

  /**
   * Creates an empty registry.
   *
   * @param clock clock of the deadlines
   * @param scheduler schedules the removal of expired instances
   * @param eventLog receives changes
   * @param listener gets all listed instances after each change, in order, outside the lock
   */
  public InstanceRegistry(
      Clock clock,
      Scheduler scheduler,
      EventLog eventLog,
      Consumer<Collection<Instance>> listener) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.eventLog = eventLog;
    this.listener = listener;
  }

  /**
   * Applies changes of the list.
   *
   * @param changes the changes, the latest of each instance last
   * @param sourceReconnected whether the source has just reconnected after an outage
   */
  public void apply(List<Change> changes, boolean sourceReconnected) {
    boolean hasLapsing =
        lock.call(
            () -> {
              boolean anyLapsing = false;
              List<Instance> appeared = new ArrayList<>();
              List<Instance> removed = new ArrayList<>();
              for (Change change : changes) {
                anyLapsing |= apply(change, sourceReconnected, appeared, removed);
              }
              logAll("instance_listed", "instances_listed", appeared);
              logAll("instance_removed", "instances_removed", removed);
              notifyListener();
              return anyLapsing;
            });
    effects.drain();
    if (hasLapsing) {
      scheduler.schedule(Deadline.after(clock, RELISTING_TIME), this::removeLapsed);
    }
  }

  private boolean apply(
      Change change, boolean sourceReconnected, List<Instance> appeared, List<Instance> removed) {
    @Nullable Instance known = listed.get(change.id());
    if (change.instance().isPresent()) {
      Instance instance = change.instance().get();
      listed.put(change.id(), instance);
      lapsing.remove(change.id());
      if (instance.leaving() && (known == null || !known.leaving())) {
        log("instance_leaving", instance);
      } else if (!instance.leaving() && (known == null || known.leaving())) {
        appeared.add(instance);
      }
      return false;
    }
    if (known == null) {
      return false;
    }
    if (sourceReconnected && !known.leaving()) {
      lapsing.put(change.id(), Deadline.after(clock, RELISTING_TIME));
      log("instance_lapsed", known);
      return true;
    }
    listed.remove(change.id());
    removed.add(known);
    return false;
  }

  private void logAll(String event, String summaryEvent, List<Instance> instances) {
    if (instances.size() <= MAXIMUM_INDIVIDUAL_LOG_LINES) {
      instances.forEach(instance -> log(event, instance));
      return;
    }
    Map<String, Long> byService =
        instances.stream()
            .collect(
                Collectors.groupingBy(
                    instance -> instance.service().value(), TreeMap::new, Collectors.counting()));
    effects.add(
        () ->
            eventLog.record(
                EventLog.Level.INFO,
                summaryEvent,
                LogField.of("count", instances.size()),
                LogField.of("services", byService)));
  }

  private void log(String event, Instance instance) {
    effects.add(
        () ->
            eventLog.record(
                EventLog.Level.INFO,
                event,
                LogField.of("instance", instance.id()),
                LogField.of("service", instance.service()),
                LogField.of("address", instance.endpoint()),
                LogField.of("incarnation", instance.incarnation())));
  }

  private void removeLapsed() {
    lock.run(
        () -> {
          lapsing
              .entrySet()
              .removeIf(
                  entry -> {
                    boolean isOverdue = entry.getValue().isReached(clock);
                    @Nullable Instance removed = isOverdue ? listed.remove(entry.getKey()) : null;
                    if (removed != null) {
                      log("instance_removed", removed);
                    }
                    return isOverdue;
                  });
          notifyListener();
        });
    effects.drain();
  }

  private void notifyListener() {
    List<Instance> all = List.copyOf(listed.values());
    effects.add(() -> listener.accept(all));
  }
}
