package org.kumquatvane.verification.soak;

/**
 * One fault or planned change of a run.
 *
 * @param startMillis start, from the start of the traffic
 * @param kind type of the disturbance
 * @param index index of the affected VM or instance; ignored by kinds that affect neither
 * @param durationMillis how long it lasts
 */
record Disturbance(long startMillis, Kind kind, int index, long durationMillis) {

  /** What a disturbance affects. */
  enum Target {
    VM,
    INSTANCE,
    STORE,
    CONFIGURATION,
    FLEET
  }

  /** Type of a disturbance. */
  enum Kind {
    /** SIGKILL; the process is restarted after the duration. */
    KILL(Target.VM),
    /** SIGSTOP, and SIGCONT after the duration. */
    PAUSE(Target.VM),
    /** SIGTERM; the process is restarted after it has exited and the duration has passed. */
    STOP(Target.VM),
    /** SIGHUP. */
    RELOAD(Target.VM),
    /** Traffic between callers and the VM is delayed. */
    CALLERS_DELAYED(Target.VM),
    /** All connections of callers are reset. */
    CALLERS_RESET(Target.VM),
    /** The VM's responses do not reach its callers. */
    CALLERS_PARTITIONED_ONE_WAY(Target.VM),
    /** Traffic between the VM and the store is blocked in both directions. */
    STORE_PARTITIONED(Target.VM),
    /** Requests reach the store, but its responses do not reach the VM. */
    STORE_PARTITIONED_ONE_WAY(Target.VM),
    /** Open connections to the store stop delivering data; new ones work. */
    STORE_CONNECTIONS_BLACKHOLED(Target.VM),
    /** Messages of other VMs do not reach the VM. */
    PEERS_PARTITIONED(Target.VM),
    /** Open connections of other VMs to the VM stop delivering data; new ones work. */
    PEER_CONNECTIONS_BLACKHOLED(Target.VM),
    /** Requests reach the instance, but its responses do not reach the VMs. */
    INSTANCE_PARTITIONED_ONE_WAY(Target.INSTANCE),
    /** Open connections to the instance stop delivering data; new ones work. */
    INSTANCE_CONNECTIONS_BLACKHOLED(Target.INSTANCE),
    /** All connections to the instance are reset. */
    INSTANCE_RESET(Target.INSTANCE),
    /** Requests to the instance and its responses are delayed. */
    INSTANCE_DELAYED(Target.INSTANCE),
    /** The instance accepts requests and never responds. */
    INSTANCE_HANGS(Target.INSTANCE),
    /** The instance refuses all requests as not run. */
    INSTANCE_SHEDS(Target.INSTANCE),
    /** The instance responds to every request with status 500. */
    INSTANCE_FAILS(Target.INSTANCE),
    /** The instance truncates its responses. */
    INSTANCE_TRUNCATES_RESPONSES(Target.INSTANCE),
    /** The instance runs requests and closes the connection without a response. */
    INSTANCE_LOSES_RESPONSES(Target.INSTANCE),
    /** The instance is listed as draining and as ready again after the duration. */
    INSTANCE_DRAINS(Target.INSTANCE),
    /** The store refuses every call. */
    STORE_DOWN(Target.STORE),
    /** The store returns from a copy that is as old as the duration; part of a drill only. */
    STORE_RETURNS(Target.STORE),
    /** A key is withdrawn and granted again after the duration. */
    KEY_WITHDRAWN(Target.CONFIGURATION),
    /** A route is removed and added again after the duration. */
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
