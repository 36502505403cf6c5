package org.kumquatvane.ejection;

/** Whether an instance may receive requests. */
public enum Eligibility {
  /** It receives requests. */
  ELIGIBLE,
  /** It is ejected, and a trial request may be sent to it now. */
  TRIAL,
  /** It is ejected. */
  EJECTED
}
