package org.kumquatvane.document;

/** Trade-off between detection time and false ejections. */
public enum EjectionProfile {
  /** Never ejects. */
  NONE,
  /** Ejects on little evidence: short detection time, more false ejections. */
  FAST,
  /** Ejects on strong evidence only: few false ejections, longer detection time. */
  CAUTIOUS
}
