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
import org.kumquatvane.json.TextForm;
import org.kumquatvane.settings.internal.EndpointReader;

/**
 * Reads the settings of an entry VM on the users' platform. docs/configuration.md gives the reason
 * for each default.
 */
public final class EntrySettingsParser {
  private static final int DEFAULT_THREADS = 2;
  private static final double DEFAULT_RATIO = 0.2;
  private static final double DEFAULT_FIXED = 20;
  private static final double MOST_REQUESTS = 1_000_000;
  private static final double DEFAULT_WINDOW_SECONDS = 10;
  private static final double LONGEST_SECONDS = 3_600;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final TextForm SECRET =
      TextForm.ofSecret("[!-~]{16,1024}", "of 16 to 1024 printable characters without spaces");
  private static final TextForm ENDPOINT =
      TextForm.of(".{3,64}", "that is an IP number and a port, such as 10.1.0.5:8407");

  private final JsonReader reader = new JsonReader(JsonLimits.STANDARD);

  /**
   * Reads settings.
   *
   * @param source name of the file, for messages
   * @param bytes the input
   * @return the settings, or everything that is wrong with them
   */
  public SettingsResult<EntrySettings> parse(String source, byte[] bytes) {
    FaultCollector faults = new FaultCollector();
    Optional<JsonValue> root = reader.read(source, bytes, faults);
    if (root.isEmpty()) {
      return new SettingsResult.Invalid<>(faults.faults());
    }
    ObjectReader main = ObjectReader.ofRoot(source, root.get(), faults);
    EntrySettings settings = read(main);
    main.finish();
    return faults.isEmpty()
        ? new SettingsResult.Parsed<>(settings)
        : new SettingsResult.Invalid<>(faults.faults());
  }

  private static EntrySettings read(ObjectReader main) {
    SocketEndpoint peer = EndpointReader.readCombined(main, "peerAddress");
    return new EntrySettings(
        main.text("vmName", TextForm.NAME),
        new FailureDomain(main.text("failureDomain", TextForm.NAME)),
        EndpointReader.readCombined(main, "callerAddress"),
        EndpointReader.readCombined(main, "operatorAddress"),
        peer,
        main.has("peerListenAddress")
            ? EndpointReader.readCombined(main, "peerListenAddress")
            : peer,
        readSeeds(main),
        EndpointReader.readCombined(main, "sourceAddress"),
        seconds(main.decimal("stopGraceSeconds", 1, LONGEST_SECONDS)),
        readBudget(main.object("retryBudget")),
        readSlack(main.object("limitSlack")),
        main.text("fleetSecret", SECRET),
        (int) main.integer("workerThreads", 1, 256, DEFAULT_THREADS),
        main.truth("assertions", false));
  }

  private static List<SocketEndpoint> readSeeds(ObjectReader main) {
    List<SocketEndpoint> seeds = new ArrayList<>();
    for (Located<String> seed : main.texts("seeds", ENDPOINT)) {
      try {
        seeds.add(SocketEndpoint.parse(seed.value()));
      } catch (IllegalArgumentException e) {
        main.fault(
            "seeds", "'" + seed.value() + "' is no address", "write an IP number and a port");
      }
    }
    return seeds;
  }

  private static RetryBudgetSettings readBudget(ObjectReader budget) {
    RetryBudgetSettings settings =
        new RetryBudgetSettings(
            budget.has("ratio") ? budget.decimal("ratio", 0, 1) : DEFAULT_RATIO,
            budget.has("fixed") ? budget.decimal("fixed", 0, MOST_REQUESTS) : DEFAULT_FIXED,
            seconds(
                budget.has("windowSeconds")
                    ? budget.decimal("windowSeconds", 1, LONGEST_SECONDS)
                    : DEFAULT_WINDOW_SECONDS));
    budget.finish();
    return settings;
  }

  private static LimitSlackSettings readSlack(ObjectReader slack) {
    LimitSlackSettings settings =
        new LimitSlackSettings(
            slack.has("overage") ? slack.decimal("overage", 0, 1) : 0,
            slack.has("requests") ? slack.decimal("requests", 0, MOST_REQUESTS) : 0);
    slack.finish();
    return settings;
  }

  private static Duration seconds(double seconds) {
    return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
  }
}
