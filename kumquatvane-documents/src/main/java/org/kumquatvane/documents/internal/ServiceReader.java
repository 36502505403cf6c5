package org.kumquatvane.documents.internal;

import java.time.Duration;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.document.EjectionProfile;
import org.kumquatvane.document.EjectionSettings;
import org.kumquatvane.document.InstanceCapacity;
import org.kumquatvane.document.QueuePolicy;
import org.kumquatvane.document.RetryMode;
import org.kumquatvane.document.RetrySettings;
import org.kumquatvane.document.SelectionMode;
import org.kumquatvane.document.Service;
import org.kumquatvane.json.ObjectReader;
import org.kumquatvane.json.TextForm;

/** Reads services. docs/configuration.md gives the reason for each default. */
final class ServiceReader {
  private static final long DEFAULT_WARM_UP_MILLIS = 10_000;
  private static final int DEFAULT_MAXIMUM_WAITING = 64;
  private static final int DEFAULT_MAXIMUM_WAITING_PER_WORKSPACE = 16;
  private static final int DEFAULT_HEALTHY_FLOOR_PERCENT = 70;
  private static final long DEFAULT_BASE_EJECTION_MILLIS = 10_000;
  private static final long DEFAULT_MAXIMUM_EJECTION_MILLIS = 300_000;
  private static final int DEFAULT_MAXIMUM_ATTEMPTS = 2;
  private static final int DEFAULT_BUDGET_PERCENT = 10;
  private static final long DEFAULT_BASE_BACKOFF_MILLIS = 25;
  private static final long HOUR_MILLIS = 3_600_000;
  private static final int MAXIMUM_QUEUE = 1_000_000;

  private ServiceReader() {}

  static Service read(ObjectReader reader) {
    ServiceName name = new ServiceName(reader.text("name", TextForm.NAME));
    InstanceCapacity capacity =
        new InstanceCapacity(
            (int) reader.integer("slotsPerInstance", 1, 100_000),
            (int) reader.integer("maximumConnectionsPerInstance", 1, 1_000_000),
            millis(reader.integer("warmUpMillis", 0, HOUR_MILLIS, DEFAULT_WARM_UP_MILLIS)));
    if (capacity.maximumConnections() < capacity.slots()) {
      reader.fault(
          "maximumConnectionsPerInstance",
          "there are fewer connections than slots, so slots stay unused",
          "raise it to at least slotsPerInstance");
    }
    SelectionMode selection = reader.choice("selection", SelectionMode.TWO_CHOICES);
    return new Service(
        name,
        capacity,
        readQueue(reader.object("queue")),
        selection,
        readEjection(reader.object("ejection")),
        readRetry(reader.object("retry")));
  }

  private static QueuePolicy readQueue(ObjectReader reader) {
    int waiting = (int) reader.integer("maximumWaiting", 0, MAXIMUM_QUEUE, DEFAULT_MAXIMUM_WAITING);
    int perWorkspace =
        (int)
            reader.integer(
                "maximumWaitingPerWorkspace",
                0,
                MAXIMUM_QUEUE,
                Math.min(waiting, DEFAULT_MAXIMUM_WAITING_PER_WORKSPACE));
    if (perWorkspace > waiting) {
      reader.fault(
          "maximumWaitingPerWorkspace",
          "it is above maximumWaiting and has no effect",
          "lower it to at most maximumWaiting");
    }
    reader.finish();
    return new QueuePolicy(waiting, perWorkspace);
  }

  private static EjectionSettings readEjection(ObjectReader reader) {
    EjectionProfile profile = reader.choice("profile", EjectionProfile.CAUTIOUS);
    int floor = (int) reader.integer("healthyFloorPercent", 0, 100, DEFAULT_HEALTHY_FLOOR_PERCENT);
    long base =
        reader.integer("baseEjectionMillis", 100, HOUR_MILLIS, DEFAULT_BASE_EJECTION_MILLIS);
    long maximum =
        reader.integer(
            "maximumEjectionMillis",
            100,
            HOUR_MILLIS,
            Math.max(base, DEFAULT_MAXIMUM_EJECTION_MILLIS));
    if (maximum < base) {
      reader.fault(
          "maximumEjectionMillis",
          "it is below baseEjectionMillis",
          "raise it to at least baseEjectionMillis");
    }
    reader.finish();
    return new EjectionSettings(profile, floor, millis(base), millis(maximum));
  }

  private static RetrySettings readRetry(ObjectReader reader) {
    RetryMode mode = reader.choice("mode", RetryMode.BUDGETED);
    boolean retries = mode != RetryMode.NONE;
    int attempts =
        (int) reader.integer("maximumAttempts", 1, 10, retries ? DEFAULT_MAXIMUM_ATTEMPTS : 1);
    int budget =
        (int)
            reader.integer(
                "budgetPercent", 0, 100, mode == RetryMode.BUDGETED ? DEFAULT_BUDGET_PERCENT : 0);
    long backoff =
        reader.integer("baseBackoffMillis", 0, 60_000, retries ? DEFAULT_BASE_BACKOFF_MILLIS : 0);
    if (retries && attempts == 1) {
      reader.fault(
          "maximumAttempts", "one attempt leaves no retry", "raise it or set mode to none");
    }
    if (!retries && attempts > 1) {
      reader.fault(
          "maximumAttempts", "mode none makes one attempt only", "remove it or change mode");
    }
    if (mode == RetryMode.BUDGETED && budget == 0) {
      reader.fault(
          "budgetPercent", "a budget of 0 allows no retry", "raise it or set mode to none");
    }
    if (mode != RetryMode.BUDGETED && budget > 0) {
      reader.fault("budgetPercent", "only mode budgeted has a budget", "remove it or change mode");
    }
    if (!retries && backoff > 0) {
      reader.fault("baseBackoffMillis", "mode none never waits", "remove it or change mode");
    }
    reader.finish();
    return new RetrySettings(mode, attempts, budget, millis(backoff));
  }

  private static Duration millis(long millis) {
    return Duration.ofMillis(millis);
  }
}
