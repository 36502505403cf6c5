package org.kumquatvane.engine.gray;

/** Faults injected from the onset on. Faults of an instance affect the first one of the service. */
enum Fault {
  NONE(false),
  SLOW_BY_3(true),
  SLOW_BY_10(true),
  HANGS_ONE_IN_FIVE(true),
  HANGS_FOR_ALL(true),
  /** Requests arrive, but responses to half of the VMs are lost. */
  ONE_WAY_LOSS(true),
  /** Alternates between hanging and working for 10 s each. */
  FLAPS(true),
  /** Responds to half of the requests immediately with an error. */
  ANSWERS_ERRORS(true),
  /** The load doubles for 10 s. */
  LOAD_SPIKE(false),
  /** A quarter of the instances is replaced by cold ones, 4 times slower during their warm-up. */
  COLD_START(false),
  ALL_SLOW_BY_3(false),
  /** Responses from two thirds of the instances to one VM are lost. */
  BAD_PATH_OF_ONE_VM(false);

  private final boolean ofInstance;

  Fault(boolean ofInstance) {
    this.ofInstance = ofInstance;
  }

  boolean isOfInstance() {
    return ofInstance;
  }
}
