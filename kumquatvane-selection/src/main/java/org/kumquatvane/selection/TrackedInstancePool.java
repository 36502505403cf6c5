package org.kumquatvane.selection;

import java.time.Duration;
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
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.FailureDomain;
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

/** Instance pool that counts the slots used by this VM only, in one table for all services. */
public final class TrackedInstancePool implements InstancePool, DocumentListener {
  private final RankedLock lock = new RankedLock(LockRank.SELECTION);
  private final Clock clock;
  private final InstanceHealth health;
  private final Function<SelectionMode, SelectionPolicy> policies;
  private final Supplier<SlotLimit> limits;
  private final InvariantMonitor monitor;
  private final @Nullable FailureDomain ownDomain;
  private final Map<ServiceName, ServiceSlots> services = new HashMap<>();

  /**
   * Creates a pool without instances.
   *
   * @param clock clock of the warm-up deadlines
   * @param health determines which instances are eligible
   * @param policies creates the policy of a service
   * @param monitor receives violations
   */
  public TrackedInstancePool(
      Clock clock,
      InstanceHealth health,
      Function<SelectionMode, SelectionPolicy> policies,
      InvariantMonitor monitor) {
    this(clock, health, policies, () -> new AdaptiveSlotLimit(clock), monitor, null);
  }

  /**
   * Creates a pool without instances for a VM in a given failure domain.
   *
   * @param clock clock of the warm-up deadlines
   * @param health determines which instances are eligible
   * @param policies creates the policy of a service
   * @param limits creates the limit of a service
   * @param monitor receives violations
   * @param ownDomain failure domain of this VM, or null if it is unknown
   */
  public TrackedInstancePool(
      Clock clock,
      InstanceHealth health,
      Function<SelectionMode, SelectionPolicy> policies,
      Supplier<SlotLimit> limits,
      InvariantMonitor monitor,
      @Nullable FailureDomain ownDomain) {
    this.limits = limits;
    this.ownDomain = ownDomain;
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
    Map<ServiceName, List<Instance>> byService =
        instances.stream().collect(Collectors.groupingBy(Instance::service));
    lock.run(
        () -> {
          byService.keySet().forEach(this::entry);
          services.forEach(
              (name, service) -> service.update(byService.getOrDefault(name, List.of())));
        });
  }

  @Override
  public Optional<Reservation> reserve(ServiceName service, Set<InstanceId> excluded) {
    return lock.call(() -> entry(service).reserve(excluded));
  }

  @Override
  public void release(Reservation reservation) {
    lock.run(() -> releaseSlot(reservation, false));
  }

  @Override
  public void releaseShed(Reservation reservation) {
    lock.run(() -> releaseSlot(reservation, true));
  }

  private void releaseSlot(Reservation reservation, boolean shed) {
    ServiceSlots service = entry(reservation.instance().service());
    if (shed) {
      service.limit.onShed(service.inUse);
    } else {
      service.limit.onReleased(service.inUse);
    }
    service.inUse = Math.max(0, service.inUse - 1);
    @Nullable InstanceSlots entry = service.instances.get(reservation.instance().id());
    if (entry != null) {
      entry.slotsInUse = Math.max(0, entry.slotsInUse - 1);
    }
  }

  @Override
  public boolean hasInstance(ServiceName service) {
    return lock.call(
        () -> entry(service).instances.values().stream().anyMatch(entry -> !entry.isLeaving()));
  }

  @Override
  public boolean markLeaving(ServiceName service, InstanceId instance) {
    // Called before the pool's lock is taken, since the lock of the health table has a lower rank.
    health.instanceLeaving(service, instance);
    return lock.call(
        () -> {
          @Nullable InstanceSlots entry = entry(service).instances.get(instance);
          if (entry == null || entry.markedLeaving) {
            return false;
          }
          entry.markedLeaving = true;
          return true;
        });
  }

  @Override
  public void avoidUntil(ServiceName service, InstanceId instance, Deadline until) {
    lock.run(
        () -> {
          @Nullable InstanceSlots entry = entry(service).instances.get(instance);
          if (entry != null) {
            entry.avoidUntil(until);
          }
        });
  }

  @Override
  public List<InstanceStatus> status() {
    List<InstanceStatus> statuses = new ArrayList<>();
    lock.run(() -> services.values().forEach(service -> service.addStatus(statuses)));
    statuses.sort(
        Comparator.comparing((InstanceStatus status) -> status.instance().service())
            .thenComparing(status -> status.instance().id()));
    return statuses;
  }

  private ServiceSlots entry(ServiceName service) {
    return services.computeIfAbsent(service, unused -> new ServiceSlots());
  }

  private final class ServiceSlots implements Candidates {
    private final Map<InstanceId, InstanceSlots> instances = new TreeMap<>();
    private InstanceSlots[] index = {};
    private Set<InstanceId> excluded = Set.of();
    private SelectionPolicy policy = policies.apply(SelectionMode.ROUND_ROBIN);
    private final SlotLimit limit = limits.get();
    private int inUse;
    private boolean hasBeenListed;
    private @Nullable Service serviceSettings;

    private void setPolicy(Service service) {
      Service previous = serviceSettings;
      if (previous == null || previous.selection() != service.selection()) {
        policy = policies.apply(service.selection());
      }
      serviceSettings = service;
    }

    private void update(List<Instance> newest) {
      Set<InstanceId> present = new HashSet<>();
      for (Instance instance : newest) {
        present.add(instance.id());
        addOrUpdate(instance);
      }
      instances.keySet().retainAll(present);
      index = instances.values().toArray(InstanceSlots[]::new);
      hasBeenListed = index.length > 0;
    }

    private void addOrUpdate(Instance instance) {
      @Nullable InstanceSlots known = instances.get(instance.id());
      if (known != null) {
        known.instance = instance;
        return;
      }
      Service service = serviceSettings;
      // The first list that a VM reads does not reveal how long its instances have been running.
      Duration warmUp =
          service == null || !hasBeenListed ? Duration.ZERO : service.capacity().warmUp();
      instances.put(
          instance.id(), new InstanceSlots(instance, Deadline.after(clock, warmUp), warmUp));
    }

    private Optional<Reservation> reserve(Set<InstanceId> excludedInstances) {
      if (serviceSettings == null || !limit.canAcquire(inUse)) {
        return Optional.empty();
      }
      excluded = excludedInstances;
      if (index.length > 0 && health.hasEjections(index[0].instance.service())) {
        for (InstanceSlots entry : index) {
          if (isTrialDue(entry)) {
            return Optional.of(acquire(entry, true));
          }
        }
      }
      int chosen = policy.choose(this);
      return chosen == SelectionPolicy.NONE
          ? Optional.empty()
          : Optional.of(acquire(index[chosen], false));
    }

    /** Allows one trial at a time, so that a failing instance delays few requests. */
    private boolean isTrialDue(InstanceSlots entry) {
      return entry.slotsInUse == 0
          && !entry.isLeaving()
          && !entry.isAvoided(clock)
          && !excluded.contains(entry.instance.id())
          && eligibility(entry) == Eligibility.TRIAL;
    }

    private Eligibility eligibility(InstanceSlots entry) {
      return health.eligibility(entry.instance.service(), entry.instance.id());
    }

    @Override
    public int size() {
      return index.length;
    }

    @Override
    public boolean isSelectable(int position) {
      InstanceSlots entry = index[position];
      Service service = serviceSettings;
      return service != null
          && entry.slotsInUse < service.capacity().slots()
          && !entry.isLeaving()
          && !entry.isAvoided(clock)
          && (excluded.isEmpty() || !excluded.contains(entry.instance.id()))
          && eligibility(entry) == Eligibility.ELIGIBLE;
    }

    @Override
    public int slotsInUse(int position) {
      return index[position].slotsInUse;
    }

    @Override
    public double warmUpShare(int position) {
      return index[position].warmUpShare(clock);
    }

    @Override
    public boolean isLocal(int position) {
      return index[position].instance.failureDomain().equals(ownDomain);
    }

    private Reservation acquire(InstanceSlots entry, boolean trial) {
      monitor.check(
          Invariant.LEAVING_INSTANCE_AVOIDED,
          !entry.isLeaving(),
          "instance=" + entry.instance.id());
      entry.slotsInUse++;
      inUse++;
      return new Reservation(
          entry.instance, trial, clock.monotonicNanos(), Reservation.SelectionSnapshot.NONE);
    }

    private void addStatus(List<InstanceStatus> statuses) {
      for (InstanceSlots entry : index) {
        statuses.add(
            new InstanceStatus(
                entry.instance, entry.slotsInUse, eligibility(entry), entry.isLeaving()));
      }
    }
  }

  private static final class InstanceSlots {
    /** Share of requests at the start of the warm-up; it rises linearly to 1 at the end. */
    private static final double INITIAL_SHARE = 0.1;

    private Instance instance;
    private final Deadline warmAt;
    private final long warmUpNanos;
    private int slotsInUse;
    private boolean markedLeaving;
    private @Nullable Deadline avoidedUntil;

    private InstanceSlots(Instance instance, Deadline warmAt, Duration warmUp) {
      this.instance = instance;
      this.warmAt = warmAt;
      warmUpNanos = warmUp.toNanos();
    }

    private boolean isLeaving() {
      return markedLeaving || instance.leaving();
    }

    private void avoidUntil(Deadline until) {
      Deadline known = avoidedUntil;
      if (known == null || known.compareTo(until) < 0) {
        avoidedUntil = until;
      }
    }

    private boolean isAvoided(Clock clock) {
      Deadline until = avoidedUntil;
      return until != null && !until.isReached(clock);
    }

    private double warmUpShare(Clock clock) {
      if (warmAt.isReached(clock)) {
        return 1;
      }
      double left = (double) warmAt.remainingNanos(clock) / warmUpNanos;
      return INITIAL_SHARE + (1 - INITIAL_SHARE) * (1 - left);
    }
  }
}
