package org.kumquatvane.engine.gray;

/**
 * One run.
 *
 * @param policies the policies
 * @param instances instances of the service
 * @param slots slots of each
 * @param floorPercent healthy floor of ejection
 * @param load offered work as a share of the service's capacity
 * @param fault what goes wrong after {@link #ONSET_SECONDS}
 * @param greedyFactor times its usual rate that workspace 0 sends after the onset
 * @param seed seed of all random choices
 */
record Scenario(
    PolicySet policies,
    int instances,
    int slots,
    int floorPercent,
    double load,
    Fault fault,
    double greedyFactor,
    long seed) {
  static final int VMS = 40;
  static final int ONSET_SECONDS = 10;
  static final int END_SECONDS = 45;
}
