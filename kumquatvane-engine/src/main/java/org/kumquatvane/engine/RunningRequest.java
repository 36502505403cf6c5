package org.kumquatvane.engine;

/** Handle of a request that the engine works on. */
public interface RunningRequest {
  /** Tells the engine that the caller has left; may be called at any time on any thread. */
  void onCallerDisconnected();
}
