package org.kumquatvane.verification.soak;

/**
 * One fault or planned change of a run.
 *
 * @param atMillis start, from the start of the traffic
 * @param kind what happens
 * @param index which VM or instance it happens to; ignored by kinds without a place
 * @param forMillis how long it lasts
 */
record Disturbance(long atMillis, Kind kind, int index, long forMillis) {

  /** Where a disturbance happens. */
  enum Place {
    VM,
    INSTANCE,
    STORE,
    CONFIGURATION,
    FLEET
  }

  /** What can happen. */
  enum Kind {
    /** SIGKILL; the process is started again after the time. */
    KILL(Place.VM),
    /** SIGSTOP, and SIGCONT after the time. */
    PAUSE(Place.VM),
    /** SIGTERM; the process is started again after it has ended and the time has passed. */
    STOP(Place.VM),
    /** SIGHUP. */
    RELOAD(Place.VM),
    /** Bytes of callers reach the VM late. */
    CALLERS_DELAYED(Place.VM),
    /** All connections of callers are reset. */
    CALLERS_RESET(Place.VM),
    /** The VM's answers do not reach its callers. */
    CALLERS_CUT_ONE_WAY(Place.VM),
    /** The VM does not reach the store, which hears nothing either. */
    STORE_PATH_CUT(Place.VM),
    /** The store hears the VM, its answers do not arrive. */
    STORE_PATH_CUT_ONE_WAY(Place.VM),
    /** Open connections to the store go silent; new ones work. */
    STORE_PATH_SILENT(Place.VM),
    /** Messages of other VMs do not reach the VM. */
    PEERS_CUT(Place.VM),
    /** Open connections of other VMs to the VM go silent; new ones work. */
    PEERS_SILENT(Place.VM),
    /** Requests reach the instance, its answers do not come back. */
    INSTANCE_CUT_ONE_WAY(Place.INSTANCE),
    /** Open connections to the instance go silent; new ones work. */
    INSTANCE_SILENT(Place.INSTANCE),
    /** All connections to the instance are reset. */
    INSTANCE_RESET(Place.INSTANCE),
    /** Requests and answers of the instance are late. */
    INSTANCE_DELAYED(Place.INSTANCE),
    /** The instance takes requests and never answers. */
    INSTANCE_HANGS(Place.INSTANCE),
    /** The instance refuses all requests as not run. */
    INSTANCE_SHEDS(Place.INSTANCE),
    /** The instance answers every request with a failure. */
    INSTANCE_FAILS(Place.INSTANCE),
    /** The instance ends its answers too soon. */
    INSTANCE_CUTS_ANSWERS(Place.INSTANCE),
    /** The instance runs requests and ends the connection without an answer. */
    INSTANCE_LOSES_ANSWERS(Place.INSTANCE),
    /** The instance says that it is leaving and comes back after the time. */
    INSTANCE_DRAINS(Place.INSTANCE),
    /** The store refuses every call. */
    STORE_DOWN(Place.STORE),
    /** A key is withdrawn and granted again after the time. */
    KEY_WITHDRAWN(Place.CONFIGURATION),
    /** A route is removed and added again after the time. */
    ROUTE_REMOVED(Place.CONFIGURATION),
    /** SIGKILL for all VMs at once. */
    ALL_KILLED(Place.FLEET);

    private final Place place;

    Kind(Place place) {
      this.place = place;
    }

    Place place() {
      return place;
    }
  }
}
