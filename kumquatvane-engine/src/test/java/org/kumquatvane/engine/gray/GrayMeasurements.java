package org.kumquatvane.engine.gray;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.ToDoubleFunction;
import org.kumquatvane.document.EjectionProfile;
import org.kumquatvane.document.RetryMode;

/** Prints the tables of the section "Gray failures" of docs/measurements.md. */
public final class GrayMeasurements {
  private static final int THREADS = 4;
  private static final double LIGHT = 0.15;
  private static final double NEAR_CAPACITY = 0.8;

  private final int seeds;
  private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);

  private GrayMeasurements(int seeds) {
    this.seeds = seeds;
  }

  /**
   * Runs one table or all.
   *
   * @param arguments number of seeds, then the names of the tables: faults, false, greedy, retry,
   *     near
   * @throws Exception if a run fails
   */
  public static void main(String[] arguments) throws Exception {
    GrayMeasurements measurements = new GrayMeasurements(Integer.parseInt(arguments[0]));
    for (String table : List.of(arguments).subList(1, arguments.length)) {
      switch (table) {
        case "faults" -> measurements.faults();
        case "false" -> measurements.falseEjections();
        case "greedy" -> measurements.greedyWorkspace();
        case "retry" -> measurements.risingLoad();
        case "near" -> measurements.nearPreference();
        default -> throw new IllegalArgumentException("unknown table " + table);
      }
    }
    measurements.threads.shutdown();
  }

  /** Sizes of design 1.3 with the profile of their user. */
  private enum Size {
    ROTA(25, 3, 70, EjectionProfile.FAST),
    LEDGER(6, 3, 60, EjectionProfile.FAST),
    SESSIONS(20, 2, 70, EjectionProfile.CAUTIOUS),
    ACCOUNTS(6, 2, 60, EjectionProfile.CAUTIOUS);

    private final int instances;
    private final int slots;
    private final int floorPercent;
    private final EjectionProfile profile;

    Size(int instances, int slots, int floorPercent, EjectionProfile profile) {
      this.instances = instances;
      this.slots = slots;
      this.floorPercent = floorPercent;
      this.profile = profile;
    }
  }

  private List<Outcome> run(Way way, Size size, double load, Fault fault, double greedy)
      throws Exception {
    List<Future<Outcome>> running = new ArrayList<>();
    for (int seed = 1; seed <= seeds; seed++) {
      Scenario scenario =
          new Scenario(
              way, size.instances, size.slots, size.floorPercent, load, fault, greedy, seed);
      running.add(threads.submit(() -> new Simulation(scenario).run()));
    }
    List<Outcome> outcomes = new ArrayList<>();
    for (Future<Outcome> outcome : running) {
      outcomes.add(outcome.get());
    }
    return outcomes;
  }

  private static void head(String title, String columns) {
    System.out.println("\n### " + title + "\n\n" + columns);
    System.out.println(columns.replaceAll("[^|]+", "---"));
  }

  private void faults() throws Exception {
    head(
        "Gray instance (median / worst over " + seeds + " seeds)",
        "| service | load | fault | way | detection s | good instances ejected | worst workspace"
            + " p99 ms | its answers in time | attempts per request | wasted slot time |"
            + " below floor | second runs |");
    for (Size size : Size.values()) {
      for (double load : new double[] {LIGHT, NEAR_CAPACITY}) {
        for (Fault fault : Fault.values()) {
          if (fault.isOfInstance()) {
            row(Way.SIMPLEST, size, load, fault, 1, 0);
            row(Way.full(size.profile), size, load, fault, 1, 0);
          }
        }
      }
    }
  }

  private void falseEjections() throws Exception {
    head(
        "Nothing wrong with any instance (median / worst over " + seeds + " seeds)",
        "| service | load | event | way | detection s | good instances ejected | worst workspace"
            + " p99 ms | its answers in time | attempts per request | wasted slot time |"
            + " below floor | second runs |");
    for (Size size : Size.values()) {
      for (double load : new double[] {LIGHT, NEAR_CAPACITY}) {
        for (Fault fault : Fault.values()) {
          if (!fault.isOfInstance()) {
            double share = fault == Fault.ALL_SLOW_BY_3 ? Math.min(load, 0.3) : load;
            row(Way.SIMPLEST, size, share, fault, 1, 0);
            row(Way.full(size.profile), size, share, fault, 1, 0);
          }
        }
      }
    }
  }

  private void greedyWorkspace() throws Exception {
    head(
        "Workspace 0 at several times its rate; figures of the other workspaces",
        "| service | load | times its rate | way | detection s | good instances ejected | worst"
            + " workspace p99 ms | its answers in time | attempts per request | wasted slot time |"
            + " below floor | second runs |");
    for (Size size : new Size[] {Size.ROTA, Size.ACCOUNTS}) {
      for (double greedy : new double[] {1, 3, 6}) {
        row(Way.SIMPLEST, size, 0.6, Fault.NONE, greedy, 1);
        row(Way.full(size.profile).withoutSlotLimit(), size, 0.6, Fault.NONE, greedy, 1);
        row(Way.full(size.profile), size, 0.6, Fault.NONE, greedy, 1);
      }
    }
  }

  private void risingLoad() throws Exception {
    head(
        "Retries under rising load, one instance hanging one in five",
        "| service | load | fault | way | detection s | good instances ejected | worst workspace"
            + " p99 ms | its answers in time | attempts per request | wasted slot time |"
            + " below floor | second runs |");
    for (Size size : new Size[] {Size.ROTA, Size.ACCOUNTS}) {
      for (double load : new double[] {0.5, 0.8, 1.0, 1.2, 1.5}) {
        for (RetryMode mode : RetryMode.values()) {
          row(
              Way.full(EjectionProfile.NONE).withRetry(mode),
              size,
              load,
              Fault.HANGS_ONE_IN_FIVE,
              1,
              0);
        }
      }
    }
  }

  private void nearPreference() throws Exception {
    head(
        "Preference for the own failure domain",
        "| service | load | fault | way | detection s | good instances ejected | worst workspace"
            + " p99 ms | its answers in time | attempts per request | wasted slot time |"
            + " below floor | second runs |");
    for (Size size : new Size[] {Size.ROTA, Size.ACCOUNTS}) {
      for (double load : new double[] {LIGHT, NEAR_CAPACITY}) {
        for (double near : new double[] {0, 0.5, 1}) {
          row(Way.full(size.profile).withNearPreference(near), size, load, Fault.NONE, 1, 0);
        }
      }
    }
  }

  private void row(Way way, Size size, double load, Fault fault, double greedy, int firstWorkspace)
      throws Exception {
    List<Outcome> outcomes = run(way, size, load, fault, greedy);
    System.out.printf(
        Locale.ROOT,
        "| %s | %.2f | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |%n",
        size.name().toLowerCase(Locale.ROOT),
        load,
        greedy > 1 ? "rate x " + greedy : fault.name().toLowerCase(Locale.ROOT),
        way.name(),
        fault.isOfInstance() ? both(outcomes, "%.1f", true, o -> o.detectionSeconds) : "-",
        both(outcomes, "%.0f", true, o -> o.falselyEjectedInstances),
        both(outcomes, "%.0f", true, o -> o.worstPercentile99(firstWorkspace)),
        both(outcomes, "%.4f", false, o -> o.worstInTime(firstWorkspace)),
        both(outcomes, "%.3f", true, Outcome::attemptsPerRequest),
        both(outcomes, "%.3f", true, Outcome::wastedShare),
        both(outcomes, "%.0f", true, o -> o.floorViolations),
        both(outcomes, "%.0f", true, o -> o.harmfulSecondRuns));
  }

  private static String both(
      List<Outcome> outcomes, String format, boolean highIsBad, ToDoubleFunction<Outcome> figure) {
    double[] sorted = outcomes.stream().mapToDouble(figure).sorted().toArray();
    double worst = highIsBad ? sorted[sorted.length - 1] : sorted[0];
    return text(format, sorted[sorted.length / 2]) + " / " + text(format, worst);
  }

  private static String text(String format, double value) {
    return Double.isInfinite(value) ? "never" : String.format(Locale.ROOT, format, value);
  }
}
