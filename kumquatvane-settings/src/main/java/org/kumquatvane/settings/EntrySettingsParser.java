package org.kumquatvane.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.json.FaultCollector;
import org.kumquatvane.json.JsonLimits;
import org.kumquatvane.json.JsonReader;
import org.kumquatvane.json.JsonValue;
import org.kumquatvane.json.Located;
import org.kumquatvane.json.ObjectReader;
import org.kumquatvane.json.StringFormat;
import org.kumquatvane.settings.internal.EndpointReader;

/**
 * Parses the settings of an entry VM on the users' platform. docs/configuration.md gives the reason
 * for each default.
 */
public final class EntrySettingsParser {
  private static final int DEFAULT_THREADS = 2;
  private static final double DEFAULT_RATIO = 0.2;
  private static final double DEFAULT_FIXED = 20;
  private static final double MAXIMUM_REQUESTS = 1_000_000;
  private static final double DEFAULT_WINDOW_SECONDS = 10;
  private static final double MAXIMUM_SECONDS = 3_600;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final StringFormat SECRET =
      StringFormat.ofSecret("[!-~]{16,1024}", "of 16 to 1024 printable characters without spaces");
  private static final StringFormat ENDPOINT =
      StringFormat.of(".{3,64}", "that is an IP address and a port, such as 10.1.0.5:8407");

  private final JsonReader reader = new JsonReader(JsonLimits.STANDARD);

  /**
   * Parses settings.
   *
   * @param source name of the file, used in messages
   * @param bytes the input
   * @return the settings, or all faults found in them
   */
  public SettingsResult<EntrySettings> parse(String source, byte[] bytes) {
    FaultCollector faults = new FaultCollector();
    Optional<JsonValue> root = reader.read(source, bytes, faults);
    if (root.isEmpty()) {
      return new SettingsResult.Invalid<>(faults.faults());
    }
    ObjectReader main = ObjectReader.forRoot(source, root.get(), faults);
    EntrySettings settings = read(main);
    main.reportUnknownFields();
    return faults.isEmpty()
        ? new SettingsResult.Parsed<>(settings)
        : new SettingsResult.Invalid<>(faults.faults());
  }

  private static EntrySettings read(ObjectReader main) {
    SocketEndpoint peer = EndpointReader.readHostAndPort(main, "peerAddress");
    return new EntrySettings(
        main.readString("vmName", StringFormat.NAME),
        new FailureDomain(main.readString("failureDomain", StringFormat.NAME)),
        EndpointReader.readHostAndPort(main, "callerAddress"),
        EndpointReader.readHostAndPort(main, "operatorAddress"),
        peer,
        main.has("peerListenAddress")
            ? EndpointReader.readHostAndPort(main, "peerListenAddress")
            : peer,
        readSeeds(main),
        EndpointReader.readHostAndPort(main, "sourceAddress"),
        seconds(main.readDouble("stopGraceSeconds", 1, MAXIMUM_SECONDS)),
        readBudget(main.readObject("retryBudget")),
        readSlack(main.readObject("limitSlack")),
        main.readString("fleetSecret", SECRET),
        (int) main.readLong("workerThreads", 1, 256, DEFAULT_THREADS),
        main.readBoolean("assertions", false));
  }

  private static List<SocketEndpoint> readSeeds(ObjectReader main) {
    List<SocketEndpoint> seeds = new ArrayList<>();
    for (Located<String> seed : main.readStrings("seeds", ENDPOINT)) {
      try {
        seeds.add(SocketEndpoint.parse(seed.value()));
      } catch (IllegalArgumentException e) {
        main.reportFault(
            "seeds", "'" + seed.value() + "' is not an address", "write an IP address and a port");
      }
    }
    return seeds;
  }

  private static RetryBudgetSettings readBudget(ObjectReader budget) {
    RetryBudgetSettings settings =
        new RetryBudgetSettings(
            budget.has("ratio") ? budget.readDouble("ratio", 0, 1) : DEFAULT_RATIO,
            budget.has("fixed") ? budget.readDouble("fixed", 0, MAXIMUM_REQUESTS) : DEFAULT_FIXED,
            seconds(
                budget.has("windowSeconds")
                    ? budget.readDouble("windowSeconds", 1, MAXIMUM_SECONDS)
                    : DEFAULT_WINDOW_SECONDS));
    budget.reportUnknownFields();
    return settings;
  }

  private static LimitSlackSettings readSlack(ObjectReader slack) {
    LimitSlackSettings settings =
        new LimitSlackSettings(
            slack.has("overage") ? slack.readDouble("overage", 0, 1) : 0,
            slack.has("requests") ? slack.readDouble("requests", 0, MAXIMUM_REQUESTS) : 0);
    slack.reportUnknownFields();
    return settings;
  }

  private static Duration seconds(double seconds) {
    return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
  }
}
