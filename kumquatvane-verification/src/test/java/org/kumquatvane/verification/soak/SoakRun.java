package org.kumquatvane.verification.soak;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.kumquatvane.verification.process.Conditions;

/** Runs a plan against real processes and verifies the recorded requests. */
final class SoakRun {
  private static final int CALLERS_PER_VM = 3;

  /** Callers of one VM send about ten requests a second each. */
  private static final int MAXIMUM_PAUSE_MILLIS = 160;

  /** Time without disturbances at the end; the users allow a fleet 15 s to recover. */
  private static final long FINAL_RECOVERY_MILLIS = 17_000;

  /** Longest pause of this process that does not count as a disturbance of all VMs. */
  private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private static final long STALL_CHECK_MILLIS = 20;

  private final SoakPlan plan;
  private final Path directory;

  /**
   * Outcome of a run.
   *
   * @param summary one line of figures
   * @param violations violated guarantees
   */
  record Result(String summary, List<String> violations) {}

  SoakRun(SoakPlan plan, Path directory) {
    this.plan = plan;
    this.directory = directory;
  }

  Result run() throws IOException, InterruptedException {
    Queue<SoakRequest> sentRequests = new ConcurrentLinkedQueue<>();
    AtomicLong endNanos = new AtomicLong(Long.MAX_VALUE);
    try (SoakFleet fleet = new SoakFleet(plan, directory)) {
      fleet.vms().forEach(vm -> awaitReady(vm));
      long startNanos = System.nanoTime();
      List<Thread> threads = startCallers(fleet, sentRequests, endNanos);
      threads.add(startStallDetector(fleet.timeline(), endNanos));
      for (Disturbance disturbance : plan.disturbances()) {
        sleepUntil(startNanos + TimeUnit.MILLISECONDS.toNanos(disturbance.startMillis()));
        fleet.startDisturbance(disturbance);
      }
      fleet.awaitDisturbances();
      Thread.sleep(FINAL_RECOVERY_MILLIS);
      endNanos.set(System.nanoTime());
      for (Thread thread : threads) {
        thread.join();
      }
      SoakVerifier verifier = new SoakVerifier(fleet, sentRequests, startNanos);
      List<String> violations = verifier.verify();
      return new Result(
          "seed=%d vms=%d instances=%d disturbances=%d %s violations=%d"
              .formatted(
                  plan.seed(),
                  plan.vms(),
                  plan.instances(),
                  plan.disturbances().size(),
                  verifier.summary(),
                  violations.size()),
          violations);
    }
  }

  private static void awaitReady(SoakVm vm) {
    Conditions.await(
        "VM is ready",
        () -> {
          URI ready = URI.create("http://127.0.0.1:" + vm.operatorPort() + "/v1/ready");
          HttpURLConnection probe = (HttpURLConnection) ready.toURL().openConnection();
          return probe.getResponseCode() == 200;
        });
  }

  private List<Thread> startCallers(
      SoakFleet fleet, Queue<SoakRequest> sentRequests, AtomicLong endNanos) {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < plan.vms() * CALLERS_PER_VM; i++) {
      SoakCaller caller =
          new SoakCaller(
              "c" + i, plan.seed() + i, fleet.vms(), sentRequests, endNanos, MAXIMUM_PAUSE_MILLIS);
      Thread thread = new Thread(caller, "soak-caller-" + i);
      thread.start();
      threads.add(thread);
    }
    return threads;
  }

  /** Records long pauses of this process, since the VMs are then paused as well. */
  private static Thread startStallDetector(DisturbanceTimeline timeline, AtomicLong endNanos) {
    Thread thread =
        new Thread(
            () -> {
              long last = System.nanoTime();
              while (last < endNanos.get()) {
                try {
                  Thread.sleep(STALL_CHECK_MILLIS);
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                  return;
                }
                long now = System.nanoTime();
                if (now - last > STALL_NANOS) {
                  timeline.addForAll(Disturbance.Kind.PAUSE, Disturbance.Target.VM, last, now);
                }
                last = now;
              }
            },
            "soak-stall-watch");
    thread.start();
    return thread;
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    long left = nanos - System.nanoTime();
    if (left > 0) {
      TimeUnit.NANOSECONDS.sleep(left);
    }
  }
}
