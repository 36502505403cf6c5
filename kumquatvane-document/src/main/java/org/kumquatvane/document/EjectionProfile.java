package org.kumquatvane.document;

/** Ways to weigh the evidence against an instance. */
public enum EjectionProfile {
  /** Never eject. */
  NONE,
  /** Eject on little evidence: short detection time, more false ejections. */
  FAST,
  /** Eject on strong evidence only: few false ejections, longer detection time. */
  CAUTIOUS
}
