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
  private static final double LIGHT_LOAD = 0.15;
  private static final double HEAVY_LOAD = 0.8;

  private final int seeds;
  private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);

  private GrayMeasurements(int seeds) {
    this.seeds = seeds;
  }

  /**
   * Runs the given tables.
   *
   * @param arguments number of seeds, then the names of the tables: faults, false, greedy, retry,
   *     near
   * @throws Exception if a run fails
   */
  public static void main(String[] arguments) throws Exception {
    GrayMeasurements measurements = new GrayMeasurements(Integer.parseInt(arguments[0]));
    for (String table : List.of(arguments).subList(1, arguments.length)) {
      switch (table) {
        case "faults" -> measurements.printFaults();
        case "false" -> measurements.printFalseEjections();
        case "greedy" -> measurements.printGreedyWorkspace();
        case "retry" -> measurements.printRetriesUnderRisingLoad();
        case "near" -> measurements.printLocalPreference();
        default -> throw new IllegalArgumentException("unknown table " + table);
      }
    }
    measurements.threads.shutdown();
  }

  /** Service sizes of design section 1.3, each with the ejection profile used for it. */
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

  private List<SimulationResult> run(
      PolicySet policies, Size size, double load, Fault fault, double greedy) throws Exception {
    List<Future<SimulationResult>> running = new ArrayList<>();
    for (int seed = 1; seed <= seeds; seed++) {
      Scenario scenario =
          new Scenario(
              policies, size.instances, size.slots, size.floorPercent, load, fault, greedy, seed);
      running.add(threads.submit(() -> new Simulation(scenario).run()));
    }
    List<SimulationResult> results = new ArrayList<>();
    for (Future<SimulationResult> result : running) {
      results.add(result.get());
    }
    return results;
  }

  private static void printHeader(String title, String columns) {
    System.out.println("\n### " + title + "\n\n" + columns);
    System.out.println(columns.replaceAll("[^|]+", "---"));
  }

  private void printFaults() throws Exception {
    printHeader(
        "Gray instance (median / worst over " + seeds + " seeds)",
        "| service | load | fault | policy | detection s | good instances ejected | worst workspace"
            + " p99 ms | its answers in time | attempts per request | wasted slot time |"
            + " below floor | second runs |");
    for (Size size : Size.values()) {
      for (double load : new double[] {LIGHT_LOAD, HEAVY_LOAD}) {
        for (Fault fault : Fault.values()) {
          if (fault.isOfInstance()) {
            printRow(PolicySet.SIMPLEST, size, load, fault, 1, 0);
            printRow(PolicySet.full(size.profile), size, load, fault, 1, 0);
          }
        }
      }
    }
  }

  private void printFalseEjections() throws Exception {
    printHeader(
        "No faulty instance (median / worst over " + seeds + " seeds)",
        "| service | load | event | policy | detection s | good instances ejected | worst workspace"
            + " p99 ms | its answers in time | attempts per request | wasted slot time |"
            + " below floor | second runs |");
    for (Size size : Size.values()) {
      for (double load : new double[] {LIGHT_LOAD, HEAVY_LOAD}) {
        for (Fault fault : Fault.values()) {
          if (!fault.isOfInstance()) {
            double share = fault == Fault.ALL_SLOW_BY_3 ? Math.min(load, 0.3) : load;
            printRow(PolicySet.SIMPLEST, size, share, fault, 1, 0);
            printRow(PolicySet.full(size.profile), size, share, fault, 1, 0);
          }
        }
      }
    }
  }

  private void printGreedyWorkspace() throws Exception {
    printHeader(
        "Workspace 0 at several times its rate; figures of the other workspaces",
        "| service | load | times its rate | policy | detection s | good instances ejected | worst"
            + " workspace p99 ms | its answers in time | attempts per request | wasted slot time |"
            + " below floor | second runs |");
    for (Size size : new Size[] {Size.ROTA, Size.ACCOUNTS}) {
      for (double greedy : new double[] {1, 3, 6}) {
        printRow(PolicySet.SIMPLEST, size, 0.6, Fault.NONE, greedy, 1);
        printRow(PolicySet.full(size.profile).withoutSlotLimit(), size, 0.6, Fault.NONE, greedy, 1);
        printRow(PolicySet.full(size.profile), size, 0.6, Fault.NONE, greedy, 1);
      }
    }
  }

  private void printRetriesUnderRisingLoad() throws Exception {
    printHeader(
        "Retries under rising load, one instance hangs on one request in five",
        "| service | load | fault | policy | detection s | good instances ejected | worst workspace"
            + " p99 ms | its answers in time | attempts per request | wasted slot time |"
            + " below floor | second runs |");
    for (Size size : new Size[] {Size.ROTA, Size.ACCOUNTS}) {
      for (double load : new double[] {0.5, 0.8, 1.0, 1.2, 1.5}) {
        for (RetryMode mode : RetryMode.values()) {
          printRow(
              PolicySet.full(EjectionProfile.NONE).withRetry(mode),
              size,
              load,
              Fault.HANGS_ONE_IN_FIVE,
              1,
              0);
        }
      }
    }
  }

  private void printLocalPreference() throws Exception {
    printHeader(
        "Preference for the own failure domain",
        "| service | load | fault | policy | detection s | good instances ejected | worst workspace"
            + " p99 ms | its answers in time | attempts per request | wasted slot time |"
            + " below floor | second runs |");
    for (Size size : new Size[] {Size.ROTA, Size.ACCOUNTS}) {
      for (double load : new double[] {LIGHT_LOAD, HEAVY_LOAD}) {
        for (double preference : new double[] {0, 0.5, 1}) {
          printRow(
              PolicySet.full(size.profile).withLocalPreference(preference),
              size,
              load,
              Fault.NONE,
              1,
              0);
        }
      }
    }
  }

  private void printRow(
      PolicySet policies, Size size, double load, Fault fault, double greedy, int firstWorkspace)
      throws Exception {
    List<SimulationResult> results = run(policies, size, load, fault, greedy);
    System.out.printf(
        Locale.ROOT,
        "| %s | %.2f | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |%n",
        size.name().toLowerCase(Locale.ROOT),
        load,
        greedy > 1 ? "rate x " + greedy : fault.name().toLowerCase(Locale.ROOT),
        policies.name(),
        fault.isOfInstance() ? medianAndWorst(results, "%.1f", true, o -> o.detectionSeconds) : "-",
        medianAndWorst(results, "%.0f", true, o -> o.falselyEjectedInstances),
        medianAndWorst(results, "%.0f", true, o -> o.worstPercentile99(firstWorkspace)),
        medianAndWorst(results, "%.4f", false, o -> o.worstInTime(firstWorkspace)),
        medianAndWorst(results, "%.3f", true, SimulationResult::attemptsPerRequest),
        medianAndWorst(results, "%.3f", true, SimulationResult::wastedShare),
        medianAndWorst(results, "%.0f", true, o -> o.floorViolations),
        medianAndWorst(results, "%.0f", true, o -> o.duplicateOperationRuns));
  }

  private static String medianAndWorst(
      List<SimulationResult> results,
      String format,
      boolean higherIsWorse,
      ToDoubleFunction<SimulationResult> metric) {
    double[] sorted = results.stream().mapToDouble(metric).sorted().toArray();
    double worst = higherIsWorse ? sorted[sorted.length - 1] : sorted[0];
    return formatValue(format, sorted[sorted.length / 2]) + " / " + formatValue(format, worst);
  }

  private static String formatValue(String format, double value) {
    return Double.isInfinite(value) ? "never" : String.format(Locale.ROOT, format, value);
  }
}
