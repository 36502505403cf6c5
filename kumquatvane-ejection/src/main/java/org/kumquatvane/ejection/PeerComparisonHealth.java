package org.kumquatvane.ejection;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.Invariant;
import org.kumquatvane.core.InvariantMonitor;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.LogField;
import org.kumquatvane.core.PeerMessageHandler;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.VmId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.DocumentListener;
import org.kumquatvane.document.Service;
import org.kumquatvane.ejection.internal.Ejections;
import org.kumquatvane.ejection.internal.PathBlame;
import org.kumquatvane.ejection.internal.ServiceRecord;
import org.kumquatvane.membership.BackendVm;
import org.kumquatvane.membership.VmList;
import org.kumquatvane.membership.VmListListener;
import org.kumquatvane.membership.VmState;

/**
 * Ejects instances whose outcomes or latencies differ from those of the other instances of the same
 * service, above a floor of healthy capacity that holds over the ejections of all VMs in scope.
 */
public final class PeerComparisonHealth
    implements InstanceHealth,
        DocumentListener,
        VmListListener,
        PeerMessageHandler<InstanceEvidence> {
  private static final Duration TICK = Duration.ofSeconds(1);

  /** Age at which counts of another VM are dropped unless it sends newer ones. */
  private static final Duration REPORT_LIFE = Duration.ofSeconds(5);

  /**
   * Share of the 4,000 bytes a second that a VM may spend for control; the rest is for heartbeats,
   * documents and leases.
   */
  private static final int BYTES_PER_TICK = 1_500;

  private static final int MAXIMUM_SAVED_BYTES = 2 * BYTES_PER_TICK;

  /** Ends of ejections are repeated for this long, so that each peer hears of them. */
  private static final Duration ANNOUNCEMENT = Duration.ofSeconds(10);

  private final RankedLock lock = new RankedLock(LockRank.EJECTION);
  private final Clock clock;
  private final Scheduler scheduler;
  private final Supplier<List<VmId>> peersInScope;
  private final PeerSender sender;
  private final Counters counters;
  private final EventLog eventLog;
  private final InvariantMonitor monitor;
  private final PathBlame blame;
  private final Map<ServiceName, ServiceRecord> services = new HashMap<>();
  private final Set<ServiceName> active = new HashSet<>();
  private final Map<VmId, Long> sequences = new HashMap<>();

  /** Ejections by service for readers without the lock; services without any are absent. */
  private final Map<ServiceName, Map<InstanceId, Ejections.View>> views = new ConcurrentHashMap<>();

  private long sequence;
  private int nextPeer;
  private int savedBytes = BYTES_PER_TICK;
  private Deadline announceUntil;

  /**
   * Creates a table without services.
   *
   * @param self this VM
   * @param clock clock of the deadlines
   * @param scheduler runs the periodic evaluation
   * @param peersInScope the other VMs that share evidence; called outside the lock
   * @param sender sends evidence
   * @param counters counts ejections
   * @param eventLog logs ejections
   * @param monitor receives violations of the floor
   */
  public PeerComparisonHealth(
      VmId self,
      Clock clock,
      Scheduler scheduler,
      Supplier<List<VmId>> peersInScope,
      PeerSender sender,
      Counters counters,
      EventLog eventLog,
      InvariantMonitor monitor) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.peersInScope = peersInScope;
    this.sender = sender;
    this.counters = counters;
    this.eventLog = eventLog;
    this.monitor = monitor;
    blame = new PathBlame(self);
    announceUntil = new Deadline(clock.monotonicNanos());
  }

  /** Starts the periodic evaluation and the sending of evidence. */
  public void start() {
    scheduler.schedule(
        Deadline.after(clock, TICK),
        () -> {
          tick();
          start();
        });
  }

  @Override
  public void documentInForce(Document document) {
    change(
        changes -> {
          Set<ServiceName> named = new HashSet<>();
          for (Service service : document.services()) {
            named.add(service.name());
            record(service.name()).setSettings(service);
          }
          services.keySet().retainAll(named);
          changes.touchAll(views.keySet());
          services.values().forEach(service -> service.enforceFloor(changes));
        });
  }

  @Override
  public void vmListChanged(VmList list) {
    Map<ServiceName, Map<InstanceId, Boolean>> listed = new HashMap<>();
    for (BackendVm vm : list.backendVms()) {
      listed
          .computeIfAbsent(vm.service(), unused -> new HashMap<>())
          .put(vm.id(), vm.state() == VmState.LEAVING);
    }
    change(
        changes -> {
          changes.touchAll(views.keySet());
          listed.keySet().forEach(this::record);
          services.forEach(
              (name, service) -> {
                service.update(listed.getOrDefault(name, Map.of()));
                service.enforceFloor(changes);
              });
        });
  }

  @Override
  public void instanceLeaving(ServiceName service, InstanceId instance) {
    change(
        changes -> {
          changes.touchAll(Set.of(service));
          record(service).markLeaving(instance);
          record(service).enforceFloor(changes);
        });
  }

  @Override
  public Eligibility eligibility(ServiceName service, InstanceId instance) {
    Map<InstanceId, Ejections.View> ejected = views.get(service);
    if (ejected == null) {
      return Eligibility.ELIGIBLE;
    }
    Ejections.@Nullable View view = ejected.get(instance);
    return view == null ? Eligibility.ELIGIBLE : view.eligibility(clock);
  }

  @Override
  public boolean hasEjections(ServiceName service) {
    return views.containsKey(service);
  }

  @Override
  public void observe(ServiceName service, InstanceId instance, Observation observation) {
    change(
        changes -> {
          active.add(service);
          record(service).observe(instance, observation, changes);
        });
  }

  @Override
  public void handle(VmId from, InstanceEvidence message) {
    change(
        changes -> {
          Long last = sequences.get(from);
          if (last != null && last >= message.sequence()) {
            return;
          }
          sequences.put(from, message.sequence());
          changes.touchAll(views.keySet());
          services.values().forEach(service -> service.removeSender(from));
          Deadline until = Deadline.after(clock, REPORT_LIFE);
          message.counts().stream()
              .limit(InstanceEvidence.MAXIMUM_ENTRIES)
              .filter(PeerComparisonHealth::isPlausible)
              .filter(counts -> services.containsKey(counts.service()))
              .forEach(
                  counts -> {
                    active.add(counts.service());
                    record(counts.service()).putReport(from, counts, until);
                  });
          message.ejections().stream()
              .limit(InstanceEvidence.MAXIMUM_ENTRIES)
              .filter(ejected -> services.containsKey(ejected.service()))
              .forEach(
                  ejected -> {
                    active.add(ejected.service());
                    record(ejected.service()).putRemoteEjection(from, ejected, REPORT_LIFE);
                  });
          services.values().forEach(service -> service.enforceFloor(changes));
        });
  }

  private static boolean isPlausible(InstanceEvidence.Counts counts) {
    return Double.isFinite(counts.attempts())
        && Double.isFinite(counts.latencyDeviation())
        && counts.failures() >= 0
        && counts.attempts() >= counts.failures()
        && counts.latencySamples() >= 0
        && counts.attempts() >= counts.latencySamples();
  }

  /** Evaluates all evidence and sends this VM's part of it to some of the peers. */
  private void tick() {
    List<VmId> peers = peersInScope.get();
    List<InstanceEvidence> messages = new ArrayList<>();
    change(
        changes -> {
          changes.touchAll(views.keySet());
          evaluate(Set.copyOf(peers), changes);
          collect(messages);
        });
    for (InstanceEvidence message : messages) {
      sendWithinBudget(peers, message);
    }
  }

  private void evaluate(Set<VmId> scope, Ejections changes) {
    sequences.keySet().retainAll(scope);
    active.removeIf(name -> !services.containsKey(name) || !record(name).refresh(scope));
    Map<VmId, Integer> contradictions = new HashMap<>();
    active.forEach(name -> record(name).addContradictions(contradictions));
    blame.update(contradictions);
    if (blame.isSelfDiscounted()) {
      counters.add("ejection.own_path_discounted", 1);
    }
    active.forEach(
        name -> {
          record(name).evaluateAll(changes);
          record(name).enforceFloor(changes);
        });
  }

  private void collect(List<InstanceEvidence> messages) {
    List<InstanceEvidence.Counts> counts = new ArrayList<>();
    List<InstanceEvidence.Ejected> ejections = new ArrayList<>();
    active.forEach(name -> record(name).addEvidence(counts, ejections));
    counts.sort(Comparator.comparingDouble(InstanceEvidence.Counts::failures).reversed());
    ejections.sort(Comparator.comparingDouble(InstanceEvidence.Ejected::certainty).reversed());
    if (!counts.isEmpty() || !ejections.isEmpty()) {
      announceUntil = Deadline.after(clock, ANNOUNCEMENT);
    }
    if (!announceUntil.isReached(clock)) {
      sequence++;
      messages.add(new InstanceEvidence(sequence, firstOf(counts), firstOf(ejections)));
    }
  }

  private static <T> List<T> firstOf(List<T> entries) {
    return entries.subList(0, Math.min(InstanceEvidence.MAXIMUM_ENTRIES, entries.size()));
  }

  /** Sends to the peers in turn until the bytes of this tick are used up; runs on one task only. */
  private void sendWithinBudget(List<VmId> peers, InstanceEvidence message) {
    savedBytes = Math.min(MAXIMUM_SAVED_BYTES, savedBytes + BYTES_PER_TICK);
    int size = message.estimatedBytes();
    for (int sent = 0; sent < peers.size() && savedBytes >= size; sent++) {
      sender.send(peers.get(Math.floorMod(nextPeer, peers.size())), message);
      nextPeer++;
      savedBytes -= size;
    }
  }

  private ServiceRecord record(ServiceName service) {
    return services.computeIfAbsent(service, unused -> new ServiceRecord(service, clock, blame));
  }

  /** Changes the table, checks the floor in the same critical section, then logs. */
  private void change(Consumer<ChangeLog> action) {
    ChangeLog changes = new ChangeLog();
    lock.run(
        () -> {
          action.accept(changes);
          changes.touched.forEach(this::publish);
        });
    changes.events.forEach(Runnable::run);
  }

  private void publish(ServiceName name) {
    @Nullable ServiceRecord service = services.get(name);
    if (service == null) {
      views.remove(name);
      return;
    }
    monitor.check(Invariant.HEALTHY_CAPACITY_FLOOR, service.isFloorKept(), "service=" + name);
    Map<InstanceId, Ejections.View> ejected = service.ejections();
    if (ejected.isEmpty()) {
      views.remove(name);
    } else {
      views.put(name, ejected);
    }
  }

  /** Collects changes, so that nothing is logged under the lock. */
  private final class ChangeLog implements Ejections {
    private final Set<ServiceName> touched = new HashSet<>();
    private final List<Runnable> events = new ArrayList<>();

    private void touchAll(Set<ServiceName> names) {
      touched.addAll(names);
    }

    @Override
    public void ejected(ServiceName service, InstanceId instance, double certainty) {
      note(
          service,
          "instance_ejected",
          LogField.of("instance", instance),
          LogField.of("certainty", Math.round(certainty)));
    }

    @Override
    public void prolonged(ServiceName service, InstanceId instance) {
      note(service, "ejection_prolonged", LogField.of("instance", instance));
    }

    @Override
    public void restored(ServiceName service, InstanceId instance) {
      note(service, "instance_restored", LogField.of("instance", instance));
    }

    @Override
    public void reversed(ServiceName service, InstanceId instance) {
      note(service, "ejection_reversed_by_floor", LogField.of("instance", instance));
    }

    @Override
    public void deniedByFloor(ServiceName service, InstanceId instance) {
      events.add(() -> counters.add("ejection.denied_by_floor", 1));
    }

    private void note(ServiceName service, String event, LogField... fields) {
      touched.add(service);
      events.add(
          () -> {
            counters.add("ejection." + event, 1);
            LogField[] all = new LogField[fields.length + 1];
            all[0] = LogField.of("service", service);
            System.arraycopy(fields, 0, all, 1, fields.length);
            eventLog.record(EventLog.Level.WARNING, event, all);
          });
    }
  }
}
