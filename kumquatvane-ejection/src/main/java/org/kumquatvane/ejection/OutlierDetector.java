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
import org.kumquatvane.ejection.internal.EjectionListener;
import org.kumquatvane.ejection.internal.PathFaultDetector;
import org.kumquatvane.ejection.internal.ServiceEjectionState;
import org.kumquatvane.membership.BackendVm;
import org.kumquatvane.membership.VmList;
import org.kumquatvane.membership.VmListListener;
import org.kumquatvane.membership.VmState;

/**
 * Ejects instances whose failure rates or latencies are outliers among the instances of the same
 * service. A floor of healthy capacity limits the combined ejections of all VMs in scope.
 */
public final class OutlierDetector
    implements InstanceHealth,
        DocumentListener,
        VmListListener,
        PeerMessageHandler<InstanceEvidence> {
  private static final Duration EVALUATION_INTERVAL = Duration.ofSeconds(1);

  /** Age at which counts from another VM expire. */
  private static final Duration REPORT_LIFETIME = Duration.ofSeconds(5);

  /**
   * Share of the 4,000 bytes per second of control traffic allowed for each VM; the rest is for
   * heartbeats, documents and leases.
   */
  private static final int BYTES_PER_INTERVAL = 1_500;

  private static final int MAXIMUM_SEND_BUDGET_BYTES = 2 * BYTES_PER_INTERVAL;

  /**
   * Time for which the end of ejections is repeatedly announced, so that every peer receives it.
   */
  private static final Duration ANNOUNCEMENT_DURATION = Duration.ofSeconds(10);

  private final RankedLock lock = new RankedLock(LockRank.EJECTION);
  private final Clock clock;
  private final Scheduler scheduler;
  private final Supplier<List<VmId>> peersInScope;
  private final PeerSender sender;
  private final Counters counters;
  private final EventLog eventLog;
  private final InvariantMonitor monitor;
  private final PathFaultDetector pathFaults;
  private final Map<ServiceName, ServiceEjectionState> services = new HashMap<>();
  private final Set<ServiceName> activeServices = new HashSet<>();
  private final Map<VmId, Long> lastSequences = new HashMap<>();

  /** Ejections by service, read without the lock; services without ejections are absent. */
  private final Map<ServiceName, Map<InstanceId, EjectionListener.EligibilityView>> ejectionViews =
      new ConcurrentHashMap<>();

  private long sequence;
  private int nextPeer;
  private int sendBudgetBytes = BYTES_PER_INTERVAL;
  private Deadline announceUntil;

  /**
   * Creates a detector without services.
   *
   * @param self this VM
   * @param clock clock of the deadlines
   * @param scheduler runs the periodic evaluation
   * @param peersInScope returns the other VMs that share evidence; called outside the lock
   * @param sender sends evidence
   * @param counters counts ejections
   * @param eventLog logs ejections
   * @param monitor receives violations of the floor
   */
  public OutlierDetector(
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
    pathFaults = new PathFaultDetector(self);
    announceUntil = new Deadline(clock.monotonicNanos());
  }

  /** Starts the periodic evaluation and the sending of evidence. */
  public void start() {
    scheduler.schedule(
        Deadline.after(clock, EVALUATION_INTERVAL),
        () -> {
          evaluateAndShare();
          start();
        });
  }

  @Override
  public void documentInForce(Document document) {
    applyChange(
        changes -> {
          Set<ServiceName> named = new HashSet<>();
          for (Service service : document.services()) {
            named.add(service.name());
            stateOf(service.name()).setSettings(service);
          }
          services.keySet().retainAll(named);
          changes.markChanged(ejectionViews.keySet());
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
    applyChange(
        changes -> {
          changes.markChanged(ejectionViews.keySet());
          listed.keySet().forEach(this::stateOf);
          services.forEach(
              (name, service) -> {
                service.updateInstances(listed.getOrDefault(name, Map.of()));
                service.enforceFloor(changes);
              });
        });
  }

  @Override
  public void instanceLeaving(ServiceName service, InstanceId instance) {
    applyChange(
        changes -> {
          changes.markChanged(Set.of(service));
          stateOf(service).markLeaving(instance);
          stateOf(service).enforceFloor(changes);
        });
  }

  @Override
  public Eligibility eligibility(ServiceName service, InstanceId instance) {
    Map<InstanceId, EjectionListener.EligibilityView> ejected = ejectionViews.get(service);
    if (ejected == null) {
      return Eligibility.ELIGIBLE;
    }
    EjectionListener.@Nullable EligibilityView view = ejected.get(instance);
    return view == null ? Eligibility.ELIGIBLE : view.eligibility(clock);
  }

  @Override
  public boolean hasEjections(ServiceName service) {
    return ejectionViews.containsKey(service);
  }

  @Override
  public void recordOutcome(ServiceName service, InstanceId instance, AttemptOutcome outcome) {
    applyChange(
        changes -> {
          activeServices.add(service);
          stateOf(service).recordOutcome(instance, outcome, changes);
        });
  }

  @Override
  public void handle(VmId from, InstanceEvidence message) {
    applyChange(
        changes -> {
          Long last = lastSequences.get(from);
          if (last != null && last >= message.sequence()) {
            return;
          }
          lastSequences.put(from, message.sequence());
          changes.markChanged(ejectionViews.keySet());
          services.values().forEach(service -> service.removeSender(from));
          Deadline until = Deadline.after(clock, REPORT_LIFETIME);
          message.counts().stream()
              .limit(InstanceEvidence.MAXIMUM_ENTRIES)
              .filter(OutlierDetector::isPlausible)
              .filter(counts -> services.containsKey(counts.service()))
              .forEach(
                  counts -> {
                    activeServices.add(counts.service());
                    stateOf(counts.service()).putReport(from, counts, until);
                  });
          message.ejections().stream()
              .limit(InstanceEvidence.MAXIMUM_ENTRIES)
              .filter(ejected -> services.containsKey(ejected.service()))
              .forEach(
                  ejected -> {
                    activeServices.add(ejected.service());
                    stateOf(ejected.service()).putRemoteEjection(from, ejected, REPORT_LIFETIME);
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

  /** Evaluates all evidence and sends this VM's own evidence to some of the peers. */
  private void evaluateAndShare() {
    List<VmId> peers = peersInScope.get();
    List<InstanceEvidence> messages = new ArrayList<>();
    applyChange(
        changes -> {
          changes.markChanged(ejectionViews.keySet());
          evaluate(Set.copyOf(peers), changes);
          collectEvidence(messages);
        });
    for (InstanceEvidence message : messages) {
      sendWithinBudget(peers, message);
    }
  }

  private void evaluate(Set<VmId> scope, EjectionListener changes) {
    lastSequences.keySet().retainAll(scope);
    activeServices.removeIf(name -> !services.containsKey(name) || !stateOf(name).refresh(scope));
    Map<VmId, Integer> contradictions = new HashMap<>();
    activeServices.forEach(name -> stateOf(name).addContradictions(contradictions));
    pathFaults.update(contradictions);
    if (pathFaults.isSelfDiscounted()) {
      counters.add("ejection.own_path_discounted", 1);
    }
    activeServices.forEach(
        name -> {
          stateOf(name).evaluateAll(changes);
          stateOf(name).enforceFloor(changes);
        });
  }

  private void collectEvidence(List<InstanceEvidence> messages) {
    List<InstanceEvidence.Counts> counts = new ArrayList<>();
    List<InstanceEvidence.Ejected> ejections = new ArrayList<>();
    activeServices.forEach(name -> stateOf(name).addEvidence(counts, ejections));
    counts.sort(Comparator.comparingDouble(InstanceEvidence.Counts::failures).reversed());
    ejections.sort(Comparator.comparingDouble(InstanceEvidence.Ejected::certainty).reversed());
    if (!counts.isEmpty() || !ejections.isEmpty()) {
      announceUntil = Deadline.after(clock, ANNOUNCEMENT_DURATION);
    }
    if (!announceUntil.isReached(clock)) {
      sequence++;
      messages.add(new InstanceEvidence(sequence, truncate(counts), truncate(ejections)));
    }
  }

  private static <T> List<T> truncate(List<T> entries) {
    return entries.subList(0, Math.min(InstanceEvidence.MAXIMUM_ENTRIES, entries.size()));
  }

  /**
   * Sends to the peers in round-robin order within the byte budget of the interval; called by one
   * task only.
   */
  private void sendWithinBudget(List<VmId> peers, InstanceEvidence message) {
    sendBudgetBytes = Math.min(MAXIMUM_SEND_BUDGET_BYTES, sendBudgetBytes + BYTES_PER_INTERVAL);
    int size = message.estimatedBytes();
    for (int sent = 0; sent < peers.size() && sendBudgetBytes >= size; sent++) {
      sender.send(peers.get(Math.floorMod(nextPeer, peers.size())), message);
      nextPeer++;
      sendBudgetBytes -= size;
    }
  }

  private ServiceEjectionState stateOf(ServiceName service) {
    return services.computeIfAbsent(
        service, unused -> new ServiceEjectionState(service, clock, pathFaults));
  }

  /** Applies a change and checks the floor in one critical section, then logs the change. */
  private void applyChange(Consumer<ChangeLog> action) {
    ChangeLog changes = new ChangeLog();
    lock.run(
        () -> {
          action.accept(changes);
          changes.changedServices.forEach(this::publishView);
        });
    changes.events.forEach(Runnable::run);
  }

  private void publishView(ServiceName name) {
    @Nullable ServiceEjectionState service = services.get(name);
    if (service == null) {
      ejectionViews.remove(name);
      return;
    }
    monitor.check(Invariant.HEALTHY_CAPACITY_FLOOR, service.isFloorSatisfied(), "service=" + name);
    Map<InstanceId, EjectionListener.EligibilityView> ejected = service.ejections();
    if (ejected.isEmpty()) {
      ejectionViews.remove(name);
    } else {
      ejectionViews.put(name, ejected);
    }
  }

  /** Collects changes, so that they are logged after the lock is released. */
  private final class ChangeLog implements EjectionListener {
    private final Set<ServiceName> changedServices = new HashSet<>();
    private final List<Runnable> events = new ArrayList<>();

    private void markChanged(Set<ServiceName> names) {
      changedServices.addAll(names);
    }

    @Override
    public void ejected(ServiceName service, InstanceId instance, double certainty) {
      recordEvent(
          service,
          "instance_ejected",
          LogField.of("instance", instance),
          LogField.of("certainty", Math.round(certainty)));
    }

    @Override
    public void prolonged(ServiceName service, InstanceId instance) {
      recordEvent(service, "ejection_prolonged", LogField.of("instance", instance));
    }

    @Override
    public void restored(ServiceName service, InstanceId instance) {
      recordEvent(service, "instance_restored", LogField.of("instance", instance));
    }

    @Override
    public void reversed(ServiceName service, InstanceId instance) {
      recordEvent(service, "ejection_reversed_by_floor", LogField.of("instance", instance));
    }

    @Override
    public void deniedByFloor(ServiceName service, InstanceId instance) {
      events.add(() -> counters.add("ejection.denied_by_floor", 1));
    }

    private void recordEvent(ServiceName service, String event, LogField... fields) {
      changedServices.add(service);
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
