package org.kumquatvane.engine;

import org.kumquatvane.core.AttemptFailure;

/** Learns the outcome of an attempt: exactly one call, on any thread. */
public interface AttemptListener {
  /**
   * The head of an answer has come; its body waits to be delivered or discarded.
   *
   * @param attempt the attempt that was answered
   * @param head the head
   */
  void onResponseHead(Attempt attempt, ResponseHead head);

  /**
   * The attempt failed before a head came.
   *
   * @param failure how it failed
   * @param instanceGone whether the instance refuses new connections after it broke this one
   */
  void onFailure(AttemptFailure failure, boolean instanceGone);
}
