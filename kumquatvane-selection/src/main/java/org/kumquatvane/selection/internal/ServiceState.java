package org.kumquatvane.selection.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.VmId;
import org.kumquatvane.selection.Instance;
import org.kumquatvane.selection.SlotRequirements;

/** The instances of one service. Guarded by the pool's lock. */
public final class ServiceState {
  /**
   * Cost of each share of an instance's slots that is in use, in the unit of a lost request: some
   * instances slow down when they are nearly full, and a guess about peers may be out of date.
   */
  private static final double LOAD_COST = 0.12;

  /** Cost of leaving the failure domain: bytes between domains and a longer way. */
  private static final double REMOTE_COST = 0.1;

  /** Cost of an instance that has just started and works at half speed. */
  private static final double COLD_COST = 0.15;

  /**
   * Cost of an instance that other VMs share: this VM does not see their attempts, and is likely to
   * requirements a new connection.
   */
  private static final double UNASSIGNED_COST = 0.15;

  /** Ties between equal instances are broken evenly, so that VMs do not pick the same one. */
  private static final double TIE_BREAK_JITTER = 0.04;

  /** Failure probability above which a request that cannot be repeated waits for a better slot. */
  private static final double MAXIMUM_ACCEPTED_RISK = 0.5;

  /** A retryable request that fails costs a retry and time, but not its answer. */
  private static final double RETRYABLE_RISK_WEIGHT = 0.35;

  /**
   * Advantage, for retryable requests, of instances that nobody has heard of lately: their answer
   * tells the fleet whether requests that cannot be repeated may go there again.
   */
  private static final double EXPLORATION_BONUS = 0.12;

  private static final double STALE_EVIDENCE_SECONDS = 0.7;

  /** Failure probability above which a trial tells little more than that nothing has changed. */
  private static final double MAXIMUM_EXPLORED_RISK = 0.45;

  private final Clock clock;
  private final UniformRandomProvider random;
  private final @Nullable FailureDomain ownDomain;
  private final SubsetAssignment subsets;
  private final ServiceLatency latency = new ServiceLatency();
  private final Map<InstanceId, InstanceState> instances = new HashMap<>();
  private List<InstanceState> instanceStates = List.of();
  private int defaultSlots = 1;
  private int localInstances;

  /**
   * Creates a service without instances.
   *
   * @param clock clock of the deadlines
   * @param random seeded source that breaks ties
   * @param ownDomain failure domain of this VM, or null if it is unknown
   * @param subsets which VMs share an instance
   */
  public ServiceState(
      Clock clock,
      UniformRandomProvider random,
      @Nullable FailureDomain ownDomain,
      SubsetAssignment subsets) {
    this.subsets = subsets;
    this.clock = clock;
    this.random = random;
    this.ownDomain = ownDomain;
  }

  /**
   * Sets the slots of instances that state none themselves.
   *
   * @param slots slots of an instance, at least 1
   */
  public void setDefaultSlots(int slots) {
    defaultSlots = slots;
  }

  /**
   * Replaces the instances.
   *
   * @param newest instanceStates instances of the service
   */
  public void update(Collection<Instance> newest) {
    Set<InstanceId> present = new HashSet<>();
    for (Instance instance : newest) {
      present.add(instance.id());
      InstanceState known = instances.get(instance.id());
      if (known == null || !isSameProcess(known.instance(), instance)) {
        instances.put(instance.id(), new InstanceState(instance, latency, clock));
      } else {
        known.setInstance(instance);
      }
    }
    instances.keySet().retainAll(present);
    instanceStates = new ArrayList<>(instances.values());
    localInstances = (int) instanceStates.stream().filter(this::isLocal).count();
  }

  private static boolean isSameProcess(Instance known, Instance newest) {
    return known.endpoint().equals(newest.endpoint())
        && known.incarnation() == newest.incarnation();
  }

  /**
   * Returns an instance.
   *
   * @param id its name
   * @return its state, or null if it is not listed
   */
  public @Nullable InstanceState find(InstanceId id) {
    return instances.get(id);
  }

  /**
   * Returns instanceStates instances.
   *
   * @return their states
   */
  public List<InstanceState> instanceStates() {
    return instanceStates;
  }

  /**
   * Tells whether any instance may get requests, busy or not.
   *
   * @return whether one is not leaving
   */
  public boolean hasInstance() {
    return instanceStates.stream().anyMatch(state -> !state.isLeaving());
  }

  /**
   * Returns the probability that a sound instance answers in time.
   *
   * @param millis the time in milliseconds
   * @return 0 to 1
   */
  public double responseProbability(double millis) {
    return 1 - latency.survival(millis);
  }

  /**
   * Chooses the instance at which the request is least likely to be lost or delayed.
   *
   * @param requirements what the request needs
   * @return an instance with a free slot, or null if none is good enough now
   */
  public @Nullable InstanceState choose(SlotRequirements requirements) {
    boolean mayWait = !requirements.retryable() && !requirements.mayWaitUntil().isReached(clock);
    InstanceState best = null;
    double bestCost = Double.MAX_VALUE;
    for (InstanceState state : instanceStates) {
      if (state.isLeaving()
          || requirements.excluded().contains(state.instance().id())
          || state.hasNoFreeSlot(slots(state))) {
        continue;
      }
      double risk = state.failureProbability();
      if (mayWait && risk > MAXIMUM_ACCEPTED_RISK) {
        continue;
      }
      double cost = cost(state, risk, requirements.retryable());
      if (cost < bestCost) {
        bestCost = cost;
        best = state;
      }
    }
    return best;
  }

  private double cost(InstanceState state, double risk, boolean retryable) {
    double cost = risk * (retryable ? RETRYABLE_RISK_WEIGHT : 1);
    cost += LOAD_COST * state.attemptsInFlight() / slots(state);
    boolean isAssigned = isLocal(state) && assignedVms(state).contains(subsets.self());
    cost += isLocal(state) ? 0 : REMOTE_COST;
    cost += isAssigned ? 0 : UNASSIGNED_COST;
    cost += state.isCold() ? COLD_COST : 0;
    boolean mayExplore = isAssigned && retryable && risk < MAXIMUM_EXPLORED_RISK;
    if (mayExplore
        && state.attemptsInFlight() == 0
        && state.secondsSinceResponse() > STALE_EVIDENCE_SECONDS) {
      cost -= EXPLORATION_BONUS;
    }
    return cost + TIE_BREAK_JITTER * random.nextDouble();
  }

  private boolean isLocal(InstanceState state) {
    return state.instance().failureDomain().equals(ownDomain);
  }

  /**
   * Returns the VMs that share an instance of this service.
   *
   * @param state the instance
   * @return VMs of this failure domain, this one included if it shares the instance
   */
  public List<VmId> assignedVms(InstanceState state) {
    return state.assignedVms(subsets, subsets.vmsPerInstance(localInstances));
  }

  private int slots(InstanceState state) {
    int own = state.instance().slots();
    return own > 0 ? own : defaultSlots;
  }
}
