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
import org.kumquatvane.json.StringFormat;

/** Reads services. docs/configuration.md explains each default. */
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
    ServiceName name = new ServiceName(reader.readString("name", StringFormat.NAME));
    InstanceCapacity capacity =
        new InstanceCapacity(
            (int) reader.readLong("slotsPerInstance", 1, 100_000),
            (int) reader.readLong("maximumConnectionsPerInstance", 1, 1_000_000),
            millis(reader.readLong("warmUpMillis", 0, HOUR_MILLIS, DEFAULT_WARM_UP_MILLIS)));
    if (capacity.maximumConnections() < capacity.slots()) {
      reader.reportFault(
          "maximumConnectionsPerInstance",
          "there are fewer connections than slots, so slots stay unused",
          "raise it to at least slotsPerInstance");
    }
    SelectionMode selection = reader.readEnum("selection", SelectionMode.TWO_CHOICES);
    return new Service(
        name,
        capacity,
        readQueue(reader.readObject("queue")),
        selection,
        readEjection(reader.readObject("ejection")),
        readRetry(reader.readObject("retry")));
  }

  private static QueuePolicy readQueue(ObjectReader reader) {
    int waiting =
        (int) reader.readLong("maximumWaiting", 0, MAXIMUM_QUEUE, DEFAULT_MAXIMUM_WAITING);
    int perWorkspace =
        (int)
            reader.readLong(
                "maximumWaitingPerWorkspace",
                0,
                MAXIMUM_QUEUE,
                Math.min(waiting, DEFAULT_MAXIMUM_WAITING_PER_WORKSPACE));
    if (perWorkspace > waiting) {
      reader.reportFault(
          "maximumWaitingPerWorkspace",
          "it is above maximumWaiting and has no effect",
          "lower it to at most maximumWaiting");
    }
    reader.reportUnknownFields();
    return new QueuePolicy(waiting, perWorkspace);
  }

  private static EjectionSettings readEjection(ObjectReader reader) {
    EjectionProfile profile = reader.readEnum("profile", EjectionProfile.CAUTIOUS);
    int floor = (int) reader.readLong("healthyFloorPercent", 0, 100, DEFAULT_HEALTHY_FLOOR_PERCENT);
    long base =
        reader.readLong("baseEjectionMillis", 100, HOUR_MILLIS, DEFAULT_BASE_EJECTION_MILLIS);
    long maximum =
        reader.readLong(
            "maximumEjectionMillis",
            100,
            HOUR_MILLIS,
            Math.max(base, DEFAULT_MAXIMUM_EJECTION_MILLIS));
    if (maximum < base) {
      reader.reportFault(
          "maximumEjectionMillis",
          "it is below baseEjectionMillis",
          "raise it to at least baseEjectionMillis");
    }
    reader.reportUnknownFields();
    return new EjectionSettings(profile, floor, millis(base), millis(maximum));
  }

  private static RetrySettings readRetry(ObjectReader reader) {
    RetryMode mode = reader.readEnum("mode", RetryMode.BUDGETED);
    boolean retries = mode != RetryMode.NONE;
    int attempts =
        (int) reader.readLong("maximumAttempts", 1, 10, retries ? DEFAULT_MAXIMUM_ATTEMPTS : 1);
    int budget =
        (int)
            reader.readLong(
                "budgetPercent", 0, 100, mode == RetryMode.BUDGETED ? DEFAULT_BUDGET_PERCENT : 0);
    long backoff =
        reader.readLong("baseBackoffMillis", 0, 60_000, retries ? DEFAULT_BASE_BACKOFF_MILLIS : 0);
    if (retries && attempts == 1) {
      reader.reportFault(
          "maximumAttempts", "one attempt leaves no retry", "raise it or set mode to none");
    }
    if (!retries && attempts > 1) {
      reader.reportFault(
          "maximumAttempts", "mode none makes one attempt only", "remove it or change mode");
    }
    if (mode == RetryMode.BUDGETED && budget == 0) {
      reader.reportFault(
          "budgetPercent", "a budget of 0 allows no retry", "raise it or set mode to none");
    }
    if (mode != RetryMode.BUDGETED && budget > 0) {
      reader.reportFault(
          "budgetPercent", "only mode budgeted has a budget", "remove it or change mode");
    }
    if (!retries && backoff > 0) {
      reader.reportFault("baseBackoffMillis", "mode none never waits", "remove it or change mode");
    }
    reader.reportUnknownFields();
    return new RetrySettings(mode, attempts, budget, millis(backoff));
  }

  private static Duration millis(long millis) {
    return Duration.ofMillis(millis);
  }
}
