package org.kumquatvane.selection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.Invariant;
import org.kumquatvane.core.InvariantMonitor;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.DocumentListener;
import org.kumquatvane.document.SelectionMode;
import org.kumquatvane.document.Service;
import org.kumquatvane.ejection.Eligibility;
import org.kumquatvane.ejection.InstanceHealth;

/** Instance pool over the VM list, with one table of slots for all services. */
public final class TrackedInstancePool implements InstancePool, DocumentListener {
  private final RankedLock lock = new RankedLock(LockRank.SELECTION);
  private final Clock clock;
  private final InstanceHealth health;
  private final Function<SelectionMode, SelectionPolicy> policies;
  private final InvariantMonitor monitor;
  private final Map<ServiceName, ServiceEntry> services = new HashMap<>();

  /**
   * Creates a pool without instances.
   *
   * @param clock clock of the warm-up deadlines
   * @param health judges instances
   * @param policies creates the policy of a service
   * @param monitor receives violations
   */
  public TrackedInstancePool(
      Clock clock,
      InstanceHealth health,
      Function<SelectionMode, SelectionPolicy> policies,
      InvariantMonitor monitor) {
    this.clock = clock;
    this.health = health;
    this.policies = policies;
    this.monitor = monitor;
  }

  @Override
  public void documentInForce(Document document) {
    lock.run(
        () -> document.services().forEach(service -> entry(service.name()).setPolicy(service)));
  }

  @Override
  public void update(Collection<Instance> instances) {
    lock.run(
        () -> {
          Set<InstanceId> listed = new HashSet<>();
          for (Instance instance : instances) {
            listed.add(instance.id());
            entry(instance.service()).put(instance);
          }
          services.values().forEach(service -> service.retain(listed));
        });
  }

  @Override
  public Optional<Reservation> reserve(ServiceName service, Set<InstanceId> excluded) {
    Map<InstanceId, Eligibility> eligibilities = eligibilities(service);
    return lock.call(() -> entry(service).reserve(eligibilities, excluded));
  }

  /** Asks for eligibilities before the pool's lock is taken, as the lock order demands. */
  private Map<InstanceId, Eligibility> eligibilities(ServiceName service) {
    List<InstanceId> ids = lock.call(() -> List.copyOf(entry(service).instances.keySet()));
    Map<InstanceId, Eligibility> eligibilities = new HashMap<>();
    ids.forEach(id -> eligibilities.put(id, health.eligibility(service, id)));
    return eligibilities;
  }

  @Override
  public void release(Reservation reservation) {
    lock.run(
        () -> {
          @Nullable InstanceEntry entry =
              entry(reservation.instance().service()).instances.get(reservation.instance().id());
          if (entry != null) {
            entry.slotsInUse = Math.max(0, entry.slotsInUse - 1);
          }
        });
  }

  @Override
  public boolean hasInstance(ServiceName service) {
    return lock.call(
        () -> entry(service).instances.values().stream().anyMatch(entry -> !entry.isLeaving()));
  }

  @Override
  public void markLeaving(ServiceName service, InstanceId instance) {
    lock.run(
        () -> {
          @Nullable InstanceEntry entry = entry(service).instances.get(instance);
          if (entry != null) {
            entry.saidLeaving = true;
          }
        });
  }

  @Override
  public List<InstanceStatus> status() {
    List<InstanceStatus> statuses = new ArrayList<>();
    for (ServiceName service : lock.call(() -> List.copyOf(services.keySet()))) {
      Map<InstanceId, Eligibility> eligibilities = eligibilities(service);
      lock.run(() -> entry(service).addStatus(eligibilities, statuses));
    }
    statuses.sort(
        Comparator.comparing((InstanceStatus status) -> status.instance().service())
            .thenComparing(status -> status.instance().id()));
    return statuses;
  }

  private ServiceEntry entry(ServiceName service) {
    return services.computeIfAbsent(service, unused -> new ServiceEntry());
  }

  private final class ServiceEntry {
    private final Map<InstanceId, InstanceEntry> instances = new TreeMap<>();
    private SelectionPolicy policy = policies.apply(SelectionMode.ROUND_ROBIN);
    private @Nullable Service settings;

    private void setPolicy(Service service) {
      Service previous = settings;
      if (previous == null || previous.selection() != service.selection()) {
        policy = policies.apply(service.selection());
      }
      settings = service;
    }

    private void put(Instance instance) {
      @Nullable InstanceEntry known = instances.get(instance.id());
      if (known != null) {
        known.instance = instance;
        return;
      }
      Service service = settings;
      // The first list a VM reads says nothing about the age of its instances.
      Deadline warmAt =
          service == null || instances.isEmpty()
              ? new Deadline(clock.monotonicNanos())
              : Deadline.after(clock, service.capacity().warmUp());
      instances.put(instance.id(), new InstanceEntry(instance, warmAt));
    }

    private void retain(Set<InstanceId> listed) {
      instances.keySet().retainAll(listed);
    }

    private Optional<Reservation> reserve(
        Map<InstanceId, Eligibility> eligibilities, Set<InstanceId> excluded) {
      Service service = settings;
      if (service == null) {
        return Optional.empty();
      }
      List<Candidate> candidates = new ArrayList<>();
      for (InstanceEntry entry : instances.values()) {
        Eligibility eligibility =
            eligibilities.getOrDefault(entry.instance.id(), Eligibility.ELIGIBLE);
        boolean open = !entry.isLeaving() && !excluded.contains(entry.instance.id());
        if (!open || entry.slotsInUse >= service.capacity().slots()) {
          continue;
        }
        if (eligibility == Eligibility.TRIAL) {
          return Optional.of(take(entry, true));
        }
        if (eligibility == Eligibility.ELIGIBLE) {
          candidates.add(
              new Candidate(entry.instance, entry.slotsInUse, entry.warmAt.isReached(clock)));
        }
      }
      if (candidates.isEmpty()) {
        return Optional.empty();
      }
      InstanceId chosen = candidates.get(policy.choose(candidates)).instance().id();
      return Optional.ofNullable(instances.get(chosen)).map(entry -> take(entry, false));
    }

    private Reservation take(InstanceEntry entry, boolean trial) {
      monitor.check(
          Invariant.LEAVING_INSTANCE_AVOIDED,
          !entry.isLeaving(),
          "instance=" + entry.instance.id());
      entry.slotsInUse++;
      return new Reservation(entry.instance, trial);
    }

    private void addStatus(
        Map<InstanceId, Eligibility> eligibilities, List<InstanceStatus> statuses) {
      for (InstanceEntry entry : instances.values()) {
        statuses.add(
            new InstanceStatus(
                entry.instance,
                entry.slotsInUse,
                eligibilities.getOrDefault(entry.instance.id(), Eligibility.ELIGIBLE),
                entry.isLeaving()));
      }
    }
  }

  private static final class InstanceEntry {
    private Instance instance;
    private final Deadline warmAt;
    private int slotsInUse;
    private boolean saidLeaving;

    private InstanceEntry(Instance instance, Deadline warmAt) {
      this.instance = instance;
      this.warmAt = warmAt;
    }

    private boolean isLeaving() {
      return saidLeaving || instance.leaving();
    }
  }
}
