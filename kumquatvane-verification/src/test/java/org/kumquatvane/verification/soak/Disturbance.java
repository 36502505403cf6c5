package org.kumquatvane.verification.soak;

/**
 * One fault or planned change of a run.
 *
 * @param startMillis start, from the start of the traffic
 * @param kind what happens
 * @param index which VM or instance it happens to; ignored by kinds without a place
 * @param durationMillis how long it lasts
 */
record Disturbance(long startMillis, Kind kind, int index, long durationMillis) {

  /** Where a disturbance happens. */
  enum Target {
    VM,
    INSTANCE,
    STORE,
    CONFIGURATION,
    FLEET
  }

  /** What can happen. */
  enum Kind {
    /** SIGKILL; the process is started again after the time. */
    KILL(Target.VM),
    /** SIGSTOP, and SIGCONT after the time. */
    PAUSE(Target.VM),
    /** SIGTERM; the process is started again after it has ended and the time has passed. */
    STOP(Target.VM),
    /** SIGHUP. */
    RELOAD(Target.VM),
    /** Bytes of callers reach the VM late. */
    CALLERS_DELAYED(Target.VM),
    /** All connections of callers are reset. */
    CALLERS_RESET(Target.VM),
    /** The VM's answers do not reach its callers. */
    CALLERS_PARTITIONED_ONE_WAY(Target.VM),
    /** The VM does not reach the store, which hears nothing either. */
    STORE_PARTITIONED(Target.VM),
    /** The store hears the VM, its answers do not arrive. */
    STORE_PARTITIONED_ONE_WAY(Target.VM),
    /** Open connections to the store go silent; new ones work. */
    STORE_CONNECTIONS_BLACKHOLED(Target.VM),
    /** Messages of other VMs do not reach the VM. */
    PEERS_PARTITIONED(Target.VM),
    /** Open connections of other VMs to the VM go silent; new ones work. */
    PEER_CONNECTIONS_BLACKHOLED(Target.VM),
    /** Requests reach the instance, its answers do not come back. */
    INSTANCE_PARTITIONED_ONE_WAY(Target.INSTANCE),
    /** Open connections to the instance go silent; new ones work. */
    INSTANCE_CONNECTIONS_BLACKHOLED(Target.INSTANCE),
    /** All connections to the instance are reset. */
    INSTANCE_RESET(Target.INSTANCE),
    /** Requests and answers of the instance are late. */
    INSTANCE_DELAYED(Target.INSTANCE),
    /** The instance takes requests and never answers. */
    INSTANCE_HANGS(Target.INSTANCE),
    /** The instance refuses all requests as not run. */
    INSTANCE_SHEDS(Target.INSTANCE),
    /** The instance answers every request with a failure. */
    INSTANCE_FAILS(Target.INSTANCE),
    /** The instance ends its answers too soon. */
    INSTANCE_TRUNCATES_RESPONSES(Target.INSTANCE),
    /** The instance runs requests and ends the connection without an answer. */
    INSTANCE_LOSES_RESPONSES(Target.INSTANCE),
    /** The instance says that it is leaving and comes back after the time. */
    INSTANCE_DRAINS(Target.INSTANCE),
    /** The store refuses every call. */
    STORE_DOWN(Target.STORE),
    /** A key is withdrawn and granted again after the time. */
    KEY_WITHDRAWN(Target.CONFIGURATION),
    /** A route is removed and added again after the time. */
    ROUTE_REMOVED(Target.CONFIGURATION),
    /** SIGKILL for all VMs at once. */
    ALL_KILLED(Target.FLEET);

    private final Target target;

    Kind(Target target) {
      this.target = target;
    }

    Target target() {
      return target;
    }
  }
}
