package org.kumquatvane.ejection;

/** Whether an instance may get a request. */
public enum Eligibility {
  /** It takes requests. */
  ELIGIBLE,
  /** It is ejected, and a trial request may be sent to it now. */
  TRIAL,
  /** It is ejected. */
  EJECTED
}
