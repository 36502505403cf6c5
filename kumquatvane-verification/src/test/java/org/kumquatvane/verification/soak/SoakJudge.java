package org.kumquatvane.verification.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.verification.platform.InstanceStandIn;

/**
 * Checks the promises of the fleet from what callers and instances saw. The bounds are those that
 * the users state; a VM is undisturbed if nothing happened to it or to the store for three seconds.
 */
final class SoakJudge {
  static final double RETRY_RATIO = 0.2;
  static final int RETRY_FIXED = 60;
  static final int RETRY_WINDOW_SECONDS = 10;
  static final double QUOTA_OVERAGE = 0.25;
  static final int QUOTA_SLACK = 20;
  private static final int QUOTA_WINDOW_SECONDS = 5;
  private static final long STABLE_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Configurations and the leaving of instances are in force after this time. */
  private static final long APPLY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /** A process must not go back to an older configuration later than this. */
  private static final long ROLLBACK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private static final long TIMEOUT_NANOS =
      TimeUnit.SECONDS.toNanos(Configurations.ROUTE_TIMEOUT_SECONDS)
          + TimeUnit.MILLISECONDS.toNanos(500);

  private static final long RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(15);

  /** Proper requests that may be refused with a client's error: five and one in five hundred. */
  private static final int DENIED_FIXED = 5;

  private static final int DENIED_ONE_IN = 500;
  private static final int LOST_AT_MOST = 3;

  private final SoakFleet fleet;
  private final List<Exchanged> exchanged;
  private final long startNanos;
  private final Map<String, List<Run>> runs = new HashMap<>();
  private final List<String> violations = new ArrayList<>();

  private record Run(int instance, InstanceStandIn.Received received) {}

  SoakJudge(SoakFleet fleet, Collection<Exchanged> exchanged, long startNanos) {
    this.fleet = fleet;
    this.startNanos = startNanos;
    this.exchanged =
        exchanged.stream().sorted(Comparator.comparingLong(Exchanged::sentNanos)).toList();
    for (int i = 0; i < fleet.instances().size(); i++) {
      for (InstanceStandIn.Received received : fleet.instances().get(i).ran()) {
        runs.computeIfAbsent(received.requestId(), id -> new ArrayList<>())
            .add(new Run(i, received));
      }
    }
  }

  /** Returns one text for each broken promise. */
  List<String> judge() {
    Map<String, Exchanged> byId = new HashMap<>();
    exchanged.forEach(request -> byId.put(request.requestId(), request));
    exchanged.forEach(this::judgeAnswer);
    runs.forEach((id, list) -> judgeRuns(id, byId.get(id), list));
    judgeDenied();
    judgeLost();
    judgeUnanswered();
    judgeRollback();
    judgeRetryBudget();
    judgeQuota(byId);
    judgeRecovery();
    for (SoakVm vm : fleet.vms()) {
      if (vm.hasEndedByItself()) {
        violations.add("a process ended by itself: " + vm.describeEnd());
      }
    }
    return violations;
  }

  private void judgeAnswer(Exchanged request) {
    List<Run> ran = runs.getOrDefault(request.requestId(), List.of());
    if (request.status() == 200 && !request.problem().isEmpty() && !isVisibleCut(request)) {
      violate("answer is not the instance's", request);
    }
    if (request.isUnsafe() && ran.size() > 1) {
      violate("ran more than once", request);
    }
    if (request.isUnsafe() && request.saysNotRun() && !ran.isEmpty()) {
      violate("was called not run and has run", request);
    }
    boolean isWrongfulRun =
        !ran.isEmpty()
            && isUndisturbed(request)
            && !fleet
                .configurations()
                .mayAllow(
                    request.key(),
                    request.path(),
                    request.sentNanos(),
                    request.endedNanos(),
                    APPLY_NANOS);
    if (isWrongfulRun) {
      violate("ran under a withdrawn key or a removed route", request);
    }
  }

  /** A VM that is disturbed may end an answer too soon, as long as the caller sees the cut. */
  private boolean isVisibleCut(Exchanged request) {
    return request.problem().equals(Exchanged.CUT_SHORT)
        && !fleet
            .timeline()
            .isCalm(Disturbance.Place.VM, request.vm(), request.sentNanos(), request.endedNanos());
  }

  private void judgeRuns(String id, @Nullable Exchanged request, List<Run> ran) {
    for (Run run : ran) {
      InstanceStandIn.Received received = run.received();
      if (received.authorization() != null) {
        violations.add("an instance saw the key of request " + id);
      }
      if (request == null) {
        // Still on its way when the callers ended.
        continue;
      }
      int workspace = Configurations.KEYS.indexOf(request.key());
      if (!Configurations.WORKSPACES.get(workspace).equals(received.workspace())
          || !received.target().equals(request.path())) {
        violate("reached an instance changed: " + received, request);
      }
      for (SoakFleet.Drain drain : fleet.drains()) {
        if (drain.instance() == run.instance()
            && received.atNanos() > drain.fromNanos() + APPLY_NANOS
            && received.atNanos() < drain.untilNanos()
            && isUndisturbed(request)) {
          violate("reached an instance that was leaving", request);
        }
      }
    }
  }

  /** Tells whether nothing that excuses a late view happened to the VM before the request ended. */
  private boolean isUndisturbed(Exchanged request) {
    long from = request.sentNanos() - STABLE_NANOS;
    return fleet
            .timeline()
            .isCalm(
                Disturbance.Place.VM,
                request.vm(),
                from,
                request.endedNanos(),
                Disturbance.Kind.RELOAD)
        && fleet.timeline().isCalm(Disturbance.Place.STORE, 0, from, request.endedNanos());
  }

  private void judgeDenied() {
    List<Exchanged> denied =
        exchanged.stream()
            .filter(
                request ->
                    request.status() >= 300
                        && request.status() < 500
                        && !request.saysNotRun()
                        && isUndisturbed(request)
                        && fleet
                            .configurations()
                            .allAllow(
                                request.key(),
                                request.path(),
                                request.sentNanos(),
                                request.endedNanos(),
                                APPLY_NANOS))
            .toList();
    if (denied.size() > DENIED_FIXED + exchanged.size() / DENIED_ONE_IN) {
      violate(denied.size() + " proper requests were denied, this one first", denied.get(0));
    }
  }

  /** A request that was passed on must be answered, also around a planned stop. */
  private void judgeLost() {
    List<Exchanged> lost =
        exchanged.stream()
            .filter(request -> request.status() == Exchanged.NO_ANSWER)
            .filter(request -> runs.containsKey(request.requestId()))
            .filter(this::isUndisturbedOrStopping)
            .toList();
    for (Exchanged request : lost) {
      if (!isUndisturbed(request)) {
        violate("was cut by a planned stop", request);
      }
    }
    if (lost.size() > LOST_AT_MOST) {
      violate(lost.size() + " requests were passed on and never answered", lost.get(0));
    }
  }

  private boolean isUndisturbedOrStopping(Exchanged request) {
    // A request in the last sixth of the grace may be cut with the process.
    long graceNanos = TimeUnit.SECONDS.toNanos(SoakVm.STOP_GRACE_SECONDS);
    boolean isLate =
        fleet
            .timeline()
            .happened(
                Disturbance.Kind.STOP,
                request.vm(),
                request.sentNanos() - graceNanos - START_SLACK_NANOS,
                request.sentNanos() - graceNanos / 2);
    return !isLate
        && fleet
            .timeline()
            .isCalm(
                Disturbance.Place.VM,
                request.vm(),
                request.sentNanos() - STABLE_NANOS,
                request.endedNanos(),
                Disturbance.Kind.RELOAD,
                Disturbance.Kind.STOP);
  }

  /** A stop counts from its beginning, but its span also covers the start of the next process. */
  private static final long START_SLACK_NANOS = TimeUnit.SECONDS.toNanos(20);

  private void judgeUnanswered() {
    List<Exchanged> atTimeout =
        exchanged.stream()
            .filter(request -> request.endedNanos() - request.sentNanos() > TIMEOUT_NANOS)
            .filter(this::isUndisturbed)
            .toList();
    // A busy machine delays single answers; a fleet that holds requests delays most of them.
    long slow =
        exchanged.stream()
            .filter(
                request ->
                    request.endedNanos() - request.sentNanos()
                        > TimeUnit.SECONDS.toNanos(Configurations.ROUTE_TIMEOUT_SECONDS))
            .filter(this::isUndisturbed)
            .count();
    if (atTimeout.size() > 2 && atTimeout.size() * 2L > slow) {
      violate(
          atTimeout.size() + " of " + slow + " requests were held past the route's timeout",
          atTimeout.get(0));
    }
  }

  private void judgeRollback() {
    Map<String, List<Exchanged>> byProcess = new TreeMap<>();
    for (Exchanged request : exchanged) {
      byProcess
          .computeIfAbsent(request.vm() + "/" + request.vmLife(), process -> new ArrayList<>())
          .add(request);
    }
    byProcess.values().forEach(this::judgeRollbackOf);
  }

  private void judgeRollbackOf(List<Exchanged> requests) {
    for (Exchanged later : requests) {
      Set<Integer> explaining = fleet.configurations().explaining(later);
      if (explaining.isEmpty()) {
        continue;
      }
      int newest = explaining.stream().mapToInt(Integer::intValue).max().orElseThrow();
      for (Exchanged earlier : requests) {
        if (earlier.endedNanos() + ROLLBACK_NANOS > later.sentNanos()) {
          break;
        }
        Set<Integer> seen = fleet.configurations().explaining(earlier);
        if (!seen.isEmpty()
            && seen.stream().mapToInt(Integer::intValue).min().orElseThrow() > newest) {
          violate("was handled by an older configuration than " + earlier.requestId(), later);
          return;
        }
      }
    }
  }

  private void judgeRetryBudget() {
    List<Long> repeats = new ArrayList<>();
    runs.values()
        .forEach(
            ran ->
                ran.stream()
                    .map(run -> run.received().atNanos())
                    .sorted()
                    .skip(1)
                    .forEach(repeats::add));
    long window = TimeUnit.SECONDS.toNanos(RETRY_WINDOW_SECONDS);
    for (long end : repeats) {
      long spent = repeats.stream().filter(at -> at > end - window && at <= end).count();
      long sent =
          exchanged.stream()
              .filter(request -> request.sentNanos() > end - 2 * window)
              .filter(request -> request.sentNanos() <= end)
              .count();
      if (spent > RETRY_RATIO * sent + RETRY_FIXED) {
        violations.add(spent + " repeats within " + RETRY_WINDOW_SECONDS + " s of " + sent);
        return;
      }
    }
  }

  private void judgeQuota(Map<String, Exchanged> byId) {
    long window = TimeUnit.SECONDS.toNanos(QUOTA_WINDOW_SECONDS);
    List<Long> starts =
        runs.entrySet().stream()
            .filter(
                entry -> {
                  Exchanged request = byId.get(entry.getKey());
                  return request != null && request.key().equals(Configurations.KEYS.get(1));
                })
            .map(entry -> entry.getValue().get(0).received().atNanos())
            .sorted()
            .toList();
    double bound =
        (Configurations.RATE_PER_SECOND * QUOTA_WINDOW_SECONDS + Configurations.BURST)
                * (1 + QUOTA_OVERAGE)
            + QUOTA_SLACK;
    for (long end : starts) {
      long count = starts.stream().filter(at -> at > end - window && at <= end).count();
      if (count > bound) {
        violations.add(
            "%d requests of a limited workspace within %d s, %.0f allowed, at %.2f s"
                .formatted(count, QUOTA_WINDOW_SECONDS, bound, seconds(end)));
        return;
      }
    }
  }

  /** A quarter of the requests is served again fifteen seconds after the last disturbance. */
  private void judgeRecovery() {
    long end = exchanged.isEmpty() ? 0 : exchanged.get(exchanged.size() - 1).sentNanos();
    List<Exchanged> last =
        exchanged.stream()
            .filter(request -> request.sentNanos() > end - STABLE_NANOS)
            .filter(request -> request.key().equals(Configurations.KEYS.get(0)))
            .toList();
    long served = last.stream().filter(request -> request.status() == 200).count();
    if (last.isEmpty() || served * 4 < last.size()) {
      violations.add(
          "%d of %d requests were served at the end, %d s after the last disturbance"
              .formatted(served, last.size(), TimeUnit.NANOSECONDS.toSeconds(RECOVERY_NANOS)));
    }
  }

  private void violate(String what, Exchanged request) {
    long from = request.sentNanos() - STABLE_NANOS;
    violations.add(
        "%s: %s sent at %.2f s, ended at %.2f s, runs %s%n  disturbed: %s"
            .formatted(
                what,
                request,
                seconds(request.sentNanos()),
                seconds(request.endedNanos()),
                runs.getOrDefault(request.requestId(), List.of()),
                fleet.timeline().around(from, request.endedNanos(), startNanos)));
  }

  private double seconds(long nanos) {
    return (nanos - startNanos) / 1e9;
  }

  /** Describes the run in one line. */
  String summary() {
    Map<Integer, Integer> statuses = new TreeMap<>();
    exchanged.forEach(request -> statuses.merge(request.status(), 1, Integer::sum));
    return "requests=" + exchanged.size() + " run=" + runs.size() + " statuses=" + statuses;
  }
}
