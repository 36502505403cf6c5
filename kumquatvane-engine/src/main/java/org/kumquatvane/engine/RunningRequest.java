package org.kumquatvane.engine;

/** Handle of a request in progress. */
public interface RunningRequest {
  /** Reports that the caller has disconnected; may be called at any time on any thread. */
  void onCallerDisconnected();
}
