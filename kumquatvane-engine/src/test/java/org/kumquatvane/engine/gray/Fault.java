package org.kumquatvane.engine.gray;

/** What goes wrong from the onset on. Faults of an instance hit the first one of the service. */
enum Fault {
  NONE(false),
  SLOW_BY_3(true),
  SLOW_BY_10(true),
  HANGS_ONE_IN_FIVE(true),
  HANGS_FOR_ALL(true),
  /** Requests arrive, but answers to half of the VMs are lost. */
  ONE_WAY_LOSS(true),
  /** Hangs for 10 s and works for 10 s in turn. */
  FLAPS(true),
  /** Answers half of the requests with an error at once. */
  ANSWERS_ERRORS(true),
  /** The load doubles for 10 s. */
  LOAD_SPIKE(false),
  /** A quarter of the instances is replaced by cold ones, slow by 4 during their warm-up. */
  COLD_START(false),
  ALL_SLOW_BY_3(false),
  /** Answers from two thirds of the instances to one VM are lost. */
  BAD_PATH_OF_ONE_VM(false);

  private final boolean ofInstance;

  Fault(boolean ofInstance) {
    this.ofInstance = ofInstance;
  }

  boolean isOfInstance() {
    return ofInstance;
  }
}
