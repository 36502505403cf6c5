package org.kumquatvane.engine;

import org.kumquatvane.core.AttemptFailure;

/** Notified exactly once, on any thread, of the outcome of an attempt. */
public interface AttemptListener {
  /**
   * The response head was received; the body must now be delivered or discarded.
   *
   * @param attempt the attempt
   * @param head the response head
   */
  void onResponseHead(Attempt attempt, ResponseHead head);

  /**
   * The attempt failed before a response head was received.
   *
   * @param failure how it failed
   * @param instanceGone whether the instance refuses new connections after it closed this one
   */
  void onFailure(AttemptFailure failure, boolean instanceGone);
}
