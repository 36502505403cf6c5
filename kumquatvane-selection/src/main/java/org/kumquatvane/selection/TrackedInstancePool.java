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

/** Instance pool over the VM list, with one table of slots for all services. */
public final class TrackedInstancePool implements InstancePool, DocumentListener {
  private final RankedLock lock = new RankedLock(LockRank.SELECTION);
  private final Clock clock;
  private final InstanceHealth health;
  private final Function<SelectionMode, SelectionPolicy> policies;
  private final Supplier<SlotLimit> limits;
  private final InvariantMonitor monitor;
  private final @Nullable FailureDomain ownDomain;
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
    this(clock, health, policies, () -> new AdaptiveSlotLimit(clock), monitor, null);
  }

  /**
   * Creates a pool without instances that knows the failure domain of this VM.
   *
   * @param clock clock of the warm-up deadlines
   * @param health judges instances
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
    lock.run(() -> giveBack(reservation, false));
  }

  @Override
  public void releaseShed(Reservation reservation) {
    lock.run(() -> giveBack(reservation, true));
  }

  private void giveBack(Reservation reservation, boolean shed) {
    ServiceEntry service = entry(reservation.instance().service());
    if (shed) {
      service.limit.shed(service.inUse);
    } else {
      service.limit.released(service.inUse);
    }
    service.inUse = Math.max(0, service.inUse - 1);
    @Nullable InstanceEntry entry = service.instances.get(reservation.instance().id());
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
  public void markLeaving(ServiceName service, InstanceId instance) {
    // Before the pool's lock, since the health table has a lower rank.
    health.instanceLeaving(service, instance);
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
    lock.run(() -> services.values().forEach(service -> service.addStatus(statuses)));
    statuses.sort(
        Comparator.comparing((InstanceStatus status) -> status.instance().service())
            .thenComparing(status -> status.instance().id()));
    return statuses;
  }

  private ServiceEntry entry(ServiceName service) {
    return services.computeIfAbsent(service, unused -> new ServiceEntry());
  }

  private final class ServiceEntry implements Candidates {
    private final Map<InstanceId, InstanceEntry> instances = new TreeMap<>();
    private InstanceEntry[] index = {};
    private Set<InstanceId> excluded = Set.of();
    private SelectionPolicy policy = policies.apply(SelectionMode.ROUND_ROBIN);
    private final SlotLimit limit = limits.get();
    private int inUse;
    private boolean listed;
    private @Nullable Service settings;

    private void setPolicy(Service service) {
      Service previous = settings;
      if (previous == null || previous.selection() != service.selection()) {
        policy = policies.apply(service.selection());
      }
      settings = service;
    }

    private void update(List<Instance> newest) {
      Set<InstanceId> present = new HashSet<>();
      for (Instance instance : newest) {
        present.add(instance.id());
        put(instance);
      }
      instances.keySet().retainAll(present);
      index = instances.values().toArray(InstanceEntry[]::new);
      listed = index.length > 0;
    }

    private void put(Instance instance) {
      @Nullable InstanceEntry known = instances.get(instance.id());
      if (known != null) {
        known.instance = instance;
        return;
      }
      Service service = settings;
      // The first list a VM reads says nothing about the age of its instances.
      Duration warmUp = service == null || !listed ? Duration.ZERO : service.capacity().warmUp();
      instances.put(
          instance.id(), new InstanceEntry(instance, Deadline.after(clock, warmUp), warmUp));
    }

    private Optional<Reservation> reserve(Set<InstanceId> without) {
      if (settings == null || !limit.mayTake(inUse)) {
        return Optional.empty();
      }
      excluded = without;
      if (index.length > 0 && health.hasEjections(index[0].instance.service())) {
        for (InstanceEntry entry : index) {
          if (isTrialDue(entry)) {
            return Optional.of(take(entry, true));
          }
        }
      }
      int chosen = policy.choose(this);
      return chosen == SelectionPolicy.NONE
          ? Optional.empty()
          : Optional.of(take(index[chosen], false));
    }

    /** One trial at a time, so that a bad instance delays few requests. */
    private boolean isTrialDue(InstanceEntry entry) {
      return entry.slotsInUse == 0
          && !entry.isLeaving()
          && !excluded.contains(entry.instance.id())
          && eligibility(entry) == Eligibility.TRIAL;
    }

    private Eligibility eligibility(InstanceEntry entry) {
      return health.eligibility(entry.instance.service(), entry.instance.id());
    }

    @Override
    public int size() {
      return index.length;
    }

    @Override
    public boolean isOpen(int number) {
      InstanceEntry entry = index[number];
      Service service = settings;
      return service != null
          && entry.slotsInUse < service.capacity().slots()
          && !entry.isLeaving()
          && (excluded.isEmpty() || !excluded.contains(entry.instance.id()))
          && eligibility(entry) == Eligibility.ELIGIBLE;
    }

    @Override
    public int slotsInUse(int number) {
      return index[number].slotsInUse;
    }

    @Override
    public double warmUpShare(int number) {
      return index[number].warmUpShare(clock);
    }

    @Override
    public boolean isNear(int number) {
      return index[number].instance.failureDomain().equals(ownDomain);
    }

    private Reservation take(InstanceEntry entry, boolean trial) {
      monitor.check(
          Invariant.LEAVING_INSTANCE_AVOIDED,
          !entry.isLeaving(),
          "instance=" + entry.instance.id());
      entry.slotsInUse++;
      inUse++;
      return new Reservation(entry.instance, trial, clock.monotonicNanos(), Reservation.Basis.NONE);
    }

    private void addStatus(List<InstanceStatus> statuses) {
      for (InstanceEntry entry : index) {
        statuses.add(
            new InstanceStatus(
                entry.instance, entry.slotsInUse, eligibility(entry), entry.isLeaving()));
      }
    }
  }

  private static final class InstanceEntry {
    /** Share of requests at the start of the warm-up; it rises evenly to 1 at its end. */
    private static final double FIRST_SHARE = 0.1;

    private Instance instance;
    private final Deadline warmAt;
    private final long warmUpNanos;
    private int slotsInUse;
    private boolean saidLeaving;

    private InstanceEntry(Instance instance, Deadline warmAt, Duration warmUp) {
      this.instance = instance;
      this.warmAt = warmAt;
      warmUpNanos = warmUp.toNanos();
    }

    private boolean isLeaving() {
      return saidLeaving || instance.leaving();
    }

    private double warmUpShare(Clock clock) {
      if (warmAt.isReached(clock)) {
        return 1;
      }
      double left = (double) warmAt.remainingNanos(clock) / warmUpNanos;
      return FIRST_SHARE + (1 - FIRST_SHARE) * (1 - left);
    }
  }
}
