package org.kumquatvane.engine.gray;

/**
 * Parameters of one run.
 *
 * @param policies the policies
 * @param instances instances of the service
 * @param slots slots of each instance
 * @param floorPercent minimum percentage of instances that ejection leaves in use
 * @param load offered work as a share of the service's capacity
 * @param fault fault injected after {@link #ONSET_SECONDS}
 * @param greedyFactor factor on the usual rate of workspace 0 after the onset
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
